"""Stream of a node to a control instance."""

import asyncio
import logging
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

from mustardspur_core.messages import (
    Announce,
    CutOff,
    Heartbeat,
    Hello,
    Outcomes,
    Subscribe,
)
from mustardspur_core.metrics import Metrics
from mustardspur_core.settings import Settings
from mustardspur_core.tasks import (
    background,
    run_periodically,
    run_until_first_end,
)
from mustardspur_core.timeline import Timeline
from mustardspur_core.wire import (
    MalformedFrame,
    connect_stream,
    raise_on_silence,
)

from mustardspur_node.announcements import Announcements
from mustardspur_node.backoff import Backoff
from mustardspur_node.config_store import ConfigStore, save_periodically
from mustardspur_node.first_config_acceptance import FirstConfigAcceptance
from mustardspur_node.link_session import Connect, ControlBusyError, LinkSession
from mustardspur_node.poll import CONNECT_TIMEOUT_S, poll_periodically

_LOG: Final = logging.getLogger(__name__)
EXPIRY_INTERVAL_S: Final = 0.25
_LINK_ERRORS: Final = (OSError, EOFError, TimeoutError, MalformedFrame)


class ControlLink:
    """Maintains a stream to the first control instance that answers.

    Parameters
    ----------
    settings : Settings
        Settings of the node, with the control instances in order.
    store : ConfigStore
        Receives configurations and targets.
    announcements : Announcements
        Targets of this instance.
    timeline : Timeline
        Records the loss of a control instance.
    metrics : Metrics
        Receives counters.
    connect : callable, optional
        Opens a stream to an address within a time.
    """

    def __init__(
        self,
        settings: Settings,
        store: ConfigStore,
        announcements: Announcements,
        timeline: Timeline,
        metrics: Metrics,
        connect: Connect = connect_stream,
    ) -> None:
        """Initialise without connecting."""
        self._settings = settings
        self._store = store
        self._announcements = announcements
        self._timeline = timeline
        self._metrics = metrics
        self._connect = connect
        self._backoff = Backoff()
        self._first_configs = FirstConfigAcceptance(settings, store)
        self._session: LinkSession | None = None
        self._ended_traffic_bytes = (0, 0)
        self._incarnation = time.time_ns()
        self._cut_offs: dict[str, CutOff] = {}
        announcements.on_change(self._announce)

    @property
    def traffic_bytes(self) -> tuple[int, int]:
        """Bytes sent and received on all streams since the start."""
        sent, received = self._ended_traffic_bytes
        if self._session is None:
            return sent, received
        stream = self._session.stream
        return sent + stream.sent_bytes, received + stream.received_bytes

    @property
    def control(self) -> str | None:
        """Identifier of the connected control instance, if any."""
        return self._session.control if self._session else None

    def subscribe(self, service: str) -> None:
        """Add a service that the target of the node calls on demand."""
        if not self._store.add_service(service) or self._session is None:
            return
        if self._session.is_confirmed:
            self._session.stream.enqueue(Subscribe(services=[service]))
        else:
            # Answers to `Hello` alone count for a first configuration, so the
            # node reconnects.
            self._session.stream.close()

    def send_outcomes(self, outcomes: Outcomes) -> bool:
        """Send evidence; return whether a control instance is connected."""
        if self._session is None or self._session.control is None:
            return False
        self._session.stream.enqueue(outcomes)
        return True

    async def cut_off(self, cut_off: CutOff) -> None:
        """Stop the traffic to a bad version here and send the cut-off."""
        await self._store.cut_off(cut_off)
        self._cut_offs[cut_off.move] = cut_off
        if self._session is not None:
            self._session.stream.enqueue(cut_off)

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Maintain the stream for the length of a block."""
        async with background(
            self._keep_connected(),
            poll_periodically(
                self._settings,
                self._store,
                self._first_configs,
                self._connect,
                lambda: self._session,
            ),
            run_periodically(EXPIRY_INTERVAL_S, self._announcements.expire),
            save_periodically(self._store),
        ):
            yield

    async def _keep_connected(self) -> None:
        addresses = self._settings.control
        position = 0
        while True:
            is_restart = await self._connect_once(addresses[position])
            position = 0 if is_restart else position + 1
            if position == len(addresses):
                position = 0
                await asyncio.sleep(self._backoff.next_s())

    async def _connect_once(self, address: str) -> bool:
        """Run a stream until its end.

        Returns whether to continue with the first address of the settings.
        """
        was_connected = False
        try:
            await self._serve(address)
        except ControlBusyError as busy:
            await asyncio.sleep(busy.delay_s)
            return True
        except _LINK_ERRORS as error:
            was_connected = self.control is not None
            self._record_loss(address, error)
        finally:
            self._ended_traffic_bytes = self.traffic_bytes
            self._session = None
        if was_connected:
            self._backoff.reset()
            await asyncio.sleep(self._backoff.next_s())
        return was_connected

    async def _serve(self, address: str) -> None:
        async with self._connect(address, CONNECT_TIMEOUT_S) as stream:
            hello = _hello(self._settings, self._store, self._incarnation)
            session = LinkSession(
                address,
                stream,
                hello,
                self._store,
                self._first_configs,
            )
            self._session = session
            stream.enqueue(hello)
            self._announce()
            for cut_off in self._cut_offs.values():
                stream.enqueue(cut_off)
            await run_until_first_end(
                self._send_heartbeats(session),
                self._receive(session),
                raise_on_silence(stream, self._settings.intervals.silence_s),
            )

    async def _receive(self, session: LinkSession) -> None:
        while True:
            await session.receive()

    async def _send_heartbeats(self, session: LinkSession) -> None:
        sequence = 0
        while True:
            await asyncio.sleep(self._settings.intervals.heartbeat_s)
            sequence += 1
            await session.stream.send(Heartbeat(sequence=sequence))

    def _announce(self) -> None:
        if self._session is not None:
            targets = self._announcements.targets
            self._session.stream.enqueue(Announce(targets=targets))

    def _record_loss(self, address: str, error: Exception) -> None:
        self._metrics.incr('control_lost')
        self._timeline.record('control_lost', address=address)
        _LOG.info(
            'control instance lost',
            extra={'address': address, 'reason': repr(error)},
        )


def _hello(settings: Settings, store: ConfigStore, incarnation: int) -> Hello:
    return Hello(
        node=settings.id,
        data_centre=settings.data_centre,
        region=settings.region,
        incarnation=incarnation,
        services=store.services,
        config_indexes=store.indexes,
        target_revisions=store.revisions,
    )

"""A node's stream to a control instance."""

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
from mustardspur_node.first_config import FirstConfigs
from mustardspur_node.held import HeldConfig, save_often
from mustardspur_node.link_session import BusyControl, Connect, LinkSession
from mustardspur_node.poll import CONNECT_TIMEOUT_S, poll_often

_LOG: Final = logging.getLogger(__name__)
EXPIRY_INTERVAL_S: Final = 0.25
_LINK_ERRORS: Final = (OSError, EOFError, TimeoutError, MalformedFrame)


class ControlLink:
    """Keeps one stream to a control instance, the first that answers.

    Parameters
    ----------
    settings : Settings
        Settings of the node, with the control instances in order.
    held : HeldConfig
        Takes configurations and targets.
    announcements : Announcements
        Targets of the own instance.
    timeline : Timeline
        Receives connects and losses.
    metrics : Metrics
        Receives counters.
    connect : callable, optional
        Opens a stream to an address within a time.
    """

    def __init__(
        self,
        settings: Settings,
        held: HeldConfig,
        announcements: Announcements,
        timeline: Timeline,
        metrics: Metrics,
        connect: Connect = connect_stream,
    ) -> None:
        """Prepare without connecting."""
        self._settings = settings
        self._held = held
        self._announcements = announcements
        self._timeline = timeline
        self._metrics = metrics
        self._connect = connect
        self._backoff = Backoff()
        self._first_configs = FirstConfigs(settings, held)
        self._session: LinkSession | None = None
        self._traffic = (0, 0)
        self._incarnation = time.time_ns()
        self._cut_offs: dict[str, CutOff] = {}
        announcements.on_change(self._announce)

    @property
    def traffic_bytes(self) -> tuple[int, int]:
        """Bytes sent and received on all streams since the start."""
        sent, received = self._traffic
        if self._session is None:
            return sent, received
        stream = self._session.stream
        return sent + stream.sent_bytes, received + stream.received_bytes

    @property
    def control(self) -> str | None:
        """Identifier of the connected control instance, if any."""
        return self._session.control if self._session else None

    def subscribe(self, service: str) -> None:
        """Add a service that the node's target calls on demand."""
        if not self._held.need(service) or self._session is None:
            return
        if self._session.is_confirmed:
            self._session.stream.enqueue(Subscribe(services=[service]))
        else:
            # Only `Hello` counts as a question for a first configuration.
            self._session.stream.close()

    def send_outcomes(self, outcomes: Outcomes) -> bool:
        """Send evidence; return whether there was a stream for it."""
        if self._session is None or self._session.control is None:
            return False
        self._session.stream.enqueue(outcomes)
        return True

    async def cut_off(self, cut_off: CutOff) -> None:
        """End the traffic to a bad version here, and tell the others."""
        await self._held.cut_off(cut_off)
        self._cut_offs[cut_off.move] = cut_off
        if self._session is not None:
            self._session.stream.enqueue(cut_off)

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Keep the stream for the length of a block."""
        async with background(
            self._keep_connected(),
            poll_often(
                self._settings,
                self._held,
                self._first_configs,
                self._connect,
                lambda: self._session,
            ),
            run_periodically(EXPIRY_INTERVAL_S, self._announcements.expire),
            save_often(self._held),
        ):
            yield

    async def _keep_connected(self) -> None:
        addresses = self._settings.control
        place = 0
        while True:
            starts_over = await self._try(addresses[place])
            place = 0 if starts_over else place + 1
            if place == len(addresses):
                place = 0
                await asyncio.sleep(self._backoff.next_s())

    async def _try(self, address: str) -> bool:
        """Serve a stream until its end; return whether to start over."""
        was_connected = False
        try:
            await self._serve(address)
        except BusyControl as busy:
            await asyncio.sleep(busy.delay_s)
            return True
        except _LINK_ERRORS as error:
            was_connected = self.control is not None
            self._note_loss(address, error)
        finally:
            self._traffic = self.traffic_bytes
            self._session = None
        if was_connected:
            self._backoff.reset()
            await asyncio.sleep(self._backoff.next_s())
        return was_connected

    async def _serve(self, address: str) -> None:
        async with self._connect(address, CONNECT_TIMEOUT_S) as stream:
            hello = _hello(self._settings, self._held, self._incarnation)
            session = LinkSession(
                address,
                stream,
                hello,
                self._held,
                self._first_configs,
            )
            self._session = session
            stream.enqueue(hello)
            self._announce()
            for cut_off in self._cut_offs.values():
                stream.enqueue(cut_off)
            await run_until_first_end(
                self._beat(session),
                self._receive(session),
                raise_on_silence(stream, self._settings.intervals.silence_s),
            )

    async def _receive(self, session: LinkSession) -> None:
        while True:
            await session.receive()

    async def _beat(self, session: LinkSession) -> None:
        sequence = 0
        while True:
            await asyncio.sleep(self._settings.intervals.heartbeat_s)
            sequence += 1
            await session.stream.send(Heartbeat(sequence=sequence))

    def _announce(self) -> None:
        if self._session is not None:
            targets = self._announcements.targets
            self._session.stream.enqueue(Announce(targets=targets))

    def _note_loss(self, address: str, error: Exception) -> None:
        self._metrics.incr('control_lost')
        self._timeline.record('control_lost', address=address)
        _LOG.info(
            'control instance lost',
            extra={'address': address, 'reason': repr(error)},
        )


def _hello(settings: Settings, held: HeldConfig, incarnation: int) -> Hello:
    return Hello(
        node=settings.id,
        data_centre=settings.data_centre,
        region=settings.region,
        incarnation=incarnation,
        services=held.services,
        held=held.indexes,
        target_revisions=held.revisions,
    )

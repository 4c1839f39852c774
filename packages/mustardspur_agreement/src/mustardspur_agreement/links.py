"""Requests to one peer over a connection that is opened on demand."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final

from mustardspur_core.record import Record
from mustardspur_core.settings import Settings
from mustardspur_core.wire import MalformedFrame

from mustardspur_agreement.messages import PeerGreeting
from mustardspur_agreement.ports import Channel, Dial
from mustardspur_agreement.signal import Signal

CONNECTION_ERRORS: Final = (OSError, EOFError, MalformedFrame)
# A link changes no state of the replica, so that it can go on once there is
# memory again.
_RETRIED_ERRORS: Final = (*CONNECTION_ERRORS, MemoryError)
_RETRIES_PER_ELECTION: Final = 5


class PeerLink:
    """A client connection to one peer.

    Explanation
    ===========

    Requests made without a connection are queued until `run` has opened one.
    A request timeout closes the connection: it may be open but no longer
    deliver messages, while a new one works. A connection on which no frame
    arrives for ``silence_s`` seconds is closed too. A request that is lost
    with its connection is not sent again.

    Parameters
    ----------
    settings : Settings
        Settings of the instance.
    dial : Dial
        Opens connections.
    address : callable
        Returns the peer's current address.
    """

    __slots__ = (
        '_address',
        '_channel',
        '_changed',
        '_dial',
        '_pending',
        '_receive_timeout',
        '_request_id',
        '_settings',
        '_unsent',
    )

    def __init__(
        self,
        settings: Settings,
        dial: Dial,
        address: Callable[[], str],
    ) -> None:
        """Initialise without a connection."""
        self._settings = settings
        self._dial = dial
        self._address = address
        self._channel: Channel | None = None
        self._changed = Signal()
        self._pending: dict[int, asyncio.Future[Record | None]] = {}
        self._unsent: list[tuple[int, Record]] = []
        self._request_id = 0
        self._receive_timeout: asyncio.Timeout | None = None

    async def call(self, body: Record, timeout_s: float) -> Record | None:
        """Send a request and wait for its answer.

        Returns
        -------
        Record or None
            The answer, None on a timeout or a connection error.
        """
        self._request_id += 1
        request_id = self._request_id
        answer: asyncio.Future[Record | None] = asyncio.Future()
        self._pending[request_id] = answer
        try:
            async with asyncio.timeout(timeout_s):
                self._send_or_queue(request_id, body)
                return await answer
        except TimeoutError:
            self._close()
            return None
        finally:
            self._pending.pop(request_id, None)

    async def run(self) -> None:
        """Connect whenever requests are queued, until cancelled."""
        while True:
            await self._changed.wait_for(self._has_unsent)
            try:
                await self._connect()
            except _RETRIED_ERRORS:
                self._fail_pending()
                await asyncio.sleep(
                    self._settings.intervals.election_s / _RETRIES_PER_ELECTION
                )

    def _has_unsent(self) -> bool:
        return bool(self._unsent)

    def _send_or_queue(self, request_id: int, body: Record) -> None:
        if self._channel is None:
            self._unsent.append((request_id, body))
            self._changed.notify()
        else:
            self._channel.enqueue(body, request_id)

    async def _connect(self) -> None:
        timeout_s = self._settings.intervals.election_s
        async with self._dial(self._address(), timeout_s) as channel:
            greeting = PeerGreeting(
                instance=self._settings.id,
                region=self._settings.region,
            )
            channel.enqueue(greeting)
            for request_id, body in self._unsent:
                if request_id in self._pending:
                    channel.enqueue(body, request_id)
            self._unsent.clear()
            with self._attached(channel):
                await self._receive(channel)

    @contextmanager
    def _attached(self, channel: Channel) -> Iterator[None]:
        self._channel = channel
        try:
            yield
        finally:
            self._channel = None

    async def _receive(self, channel: Channel) -> None:
        silence_s = self._settings.intervals.silence_s
        while True:
            self._receive_timeout = asyncio.timeout(silence_s)
            async with self._receive_timeout:
                frame = await channel.receive()
            answer = self._pending.get(frame.request_id)
            if answer is not None and not answer.done():
                answer.set_result(frame.body)

    def _close(self) -> None:
        # Ends the wait for a frame at once. Closing the channel would not do so
        # while unsent bytes to an unresponsive peer remain.
        timeout = self._receive_timeout
        if self._channel is None or timeout is None:
            return
        self._channel = None
        # One that expired in the same iteration of the event loop ends the wait
        # by itself and cannot be changed any more.
        if not timeout.expired():
            timeout.reschedule(asyncio.get_running_loop().time())

    def _fail_pending(self) -> None:
        self._unsent.clear()
        for answer in self._pending.values():
            if not answer.done():
                answer.set_result(None)

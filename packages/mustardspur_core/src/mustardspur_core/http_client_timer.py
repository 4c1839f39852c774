"""Time that a client of an HTTP interface takes."""

import asyncio
from collections.abc import Callable
from typing import Final

# Without that a client reads more of its answer.
UNREAD_S: Final = 10.0


class ClientTimer:
    """Ends a connection whose client makes no progress in time.

    Parameters
    ----------
    end : callable
        Ends the connection; its argument is the reason.

    Attributes
    ----------
    since : float or None
        Time since when the client has made no progress, None while it has
        nothing to send or to read.
    """

    __slots__ = ('_end', '_loop', '_timer', 'since')

    def __init__(self, end: Callable[[str], None]) -> None:
        """Initialise for a client that may send."""
        self._end = end
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self.since: float | None = self._loop.time()

    @property
    def is_running(self) -> bool:
        """Whether the time of the client is bounded."""
        return self._timer is not None

    def wait(self) -> None:
        """Note that the client has progressed, and has to go on."""
        self.since = self._loop.time()

    def limit(self, wait_s: float, reason: str) -> None:
        """Wait for the client, and end the connection after a time."""
        self.stop()
        self.wait()
        self._timer = self._loop.call_later(wait_s, self._end, reason)

    def limit_reading(self, transport: asyncio.WriteTransport) -> None:
        """End the connection once its client reads no more for a time."""
        self.stop()
        self.wait()
        self._timer = self._loop.call_later(
            UNREAD_S,
            self._check_unread,
            transport,
            transport.get_write_buffer_size(),
        )

    def stop(self) -> None:
        """Note that the client has nothing to send or to read."""
        self.since = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check_unread(
        self,
        transport: asyncio.WriteTransport,
        unread_bytes: int,
    ) -> None:
        if transport.get_write_buffer_size() < unread_bytes:
            self.limit_reading(transport)
        else:
            self._end('answer not read')

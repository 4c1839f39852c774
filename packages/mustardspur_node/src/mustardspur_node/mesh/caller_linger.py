"""Closing of a connection whose caller may still send."""

import asyncio
from typing import Final

from mustardspur_core.connection_end import end_writing

# Time for the caller to read the last answer and close its side. Closing with
# unread bytes would reset the connection and lose the answer.
LINGER_S: Final = 1.0
# Part of it that is waited for even if the process has to end.
MIN_LINGER_S: Final = 0.2
# Longest time for which the bytes of a body are discarded whose caller sends
# on after its refusal.
MAX_LINGER_S: Final = 5.0


class Linger:
    """Closes a connection after `LINGER_S`, or once a body has ended.

    The writing side is closed at once.

    Parameters
    ----------
    transport : Transport
        The connection.
    within_body : bool
        Whether the caller sends on, since its body is not read whole.

    Attributes
    ----------
    received_s : float
        Time on the event loop's clock of the latest received bytes.
    started_s : float
        Time on it of the close of the writing side.
    """

    __slots__ = (
        '_latest_s',
        '_loop',
        '_transport',
        'received_s',
        'started_s',
    )

    def __init__(
        self,
        transport: asyncio.Transport,
        *,
        within_body: bool,
    ) -> None:
        """Close the writing side and start to wait."""
        end_writing(transport)
        self._loop = asyncio.get_running_loop()
        self._transport = transport
        now_s = self._loop.time()
        self.started_s = now_s
        self.received_s = now_s
        longest_s = MAX_LINGER_S if within_body else LINGER_S
        self._latest_s = now_s + longest_s
        self._loop.call_later(LINGER_S, self._close_if_quiet)

    @property
    def is_sufficient(self) -> bool:
        """Whether the caller has had the answer for `MIN_LINGER_S`."""
        if self._transport.get_write_buffer_size():
            return False
        return self._loop.time() - self.started_s >= MIN_LINGER_S

    def receive(self) -> None:
        """Record that bytes were received, and discarded."""
        self.received_s = self._loop.time()

    def _close_if_quiet(self) -> None:
        at_s = min(self.received_s + LINGER_S, self._latest_s)
        if at_s > self._loop.time() and not self._transport.is_closing():
            self._loop.call_at(at_s, self._close_if_quiet)
            return
        self._transport.close()

"""Account of what a process holds for the connections of its clients."""

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable
from typing import Final

from mustardspur_core.units import BYTES_PER_MIB

_LOG: Final = logging.getLogger(__name__)

# Part of the memory of the process. Bodies that are being read and large
# answers have an account of their own.
HELD_PART: Final = 0.12
DEFAULT_MEMORY_MB: Final = 300
# Part of the limit beyond it that started requests may still take.
_EXCESS_PART: Final = 0.2
# While others wait for room, a client that makes no progress for this time
# loses its connection.
STALL_S: Final = 1.0
_CHECK_INTERVAL_S: Final = 0.1
# Closed connections between two log lines.
_CLOSED_PER_LINE: Final = 100


class HeldBytes:
    """Bytes of heads, unread bodies, running requests and unread answers.

    Explanation
    ===========

    One account for all connections of all listeners of a process. While it is
    full, no further request is started. Connections whose clients have made no
    progress for `STALL_S` are closed while others wait, the longest one first,
    and without a wait if the account is exceeded by a fifth. A connection
    whose requests are running, and whose client has nothing to do, is never
    closed.

    Parameters
    ----------
    memory_mb : float
        Memory that the process may use, in MiB.

    Attributes
    ----------
    held_bytes : int
        Bytes that are held.
    limit_bytes : int
        Bytes that may be held.
    closed : int
        Connections that were closed to make room.
    """

    __slots__ = (
        '_check',
        '_owing',
        '_waiting',
        'closed',
        'held_bytes',
        'limit_bytes',
    )

    def __init__(self, memory_mb: float = DEFAULT_MEMORY_MB) -> None:
        """Initialise without connections."""
        self.held_bytes = 0
        self.closed = 0
        # Since when the client of a share has to send or read, by share; the
        # longest one first.
        self._owing: dict[HeldShare, float] = {}
        # Called in their order once there is room.
        self._waiting: OrderedDict[Callable[[], None], None] = OrderedDict()
        self._check: asyncio.TimerHandle | None = None
        self.limit_bytes = 0
        self.resize(memory_mb)

    def resize(self, memory_mb: float) -> None:
        """Set the memory of the process."""
        self.limit_bytes = int(HELD_PART * memory_mb * BYTES_PER_MIB)

    @property
    def is_full(self) -> bool:
        """Whether no further request is started."""
        return self.held_bytes >= self.limit_bytes

    @property
    def is_scarce(self) -> bool:
        """Whether a connection should hold little, so that all get some."""
        return self.held_bytes + self.held_bytes >= self.limit_bytes

    def wait(self, on_room: Callable[[], None]) -> None:
        """Call a function once there is room."""
        self._waiting[on_room] = None
        self._schedule_check()

    def end_wait(self, on_room: Callable[[], None]) -> None:
        """Do not call a function that waits for room any more."""
        self._waiting.pop(on_room, None)

    def change(self, size: int) -> None:
        """Change the bytes that are held."""
        self.held_bytes += size
        if size > 0:
            most = self.limit_bytes * (1 + _EXCESS_PART)
            if self.held_bytes > most:
                self._make_room(most, 0)
            return
        while self._waiting and not self.is_full:
            on_room, _ = self._waiting.popitem(last=False)
            on_room()

    def add_owing(self, share: 'HeldShare') -> None:
        """Put a share behind all others, since its client has progressed."""
        self._owing.pop(share, None)
        self._owing[share] = asyncio.get_running_loop().time()

    def remove_owing(self, share: 'HeldShare') -> None:
        """Remove a share whose client has nothing to do."""
        self._owing.pop(share, None)

    def close_stalled(self) -> bool:
        """Close the connection whose client stalls for the longest time.

        Returns
        -------
        bool
            Whether there is one.
        """
        closed = self.closed
        self._make_room(self.held_bytes - 1, STALL_S)
        return self.closed > closed

    def _schedule_check(self) -> None:
        if self._check is None:
            loop = asyncio.get_running_loop()
            self._check = loop.call_later(_CHECK_INTERVAL_S, self._check_full)

    def _check_full(self) -> None:
        self._check = None
        if self.is_full:
            self._make_room(self.limit_bytes - 1, STALL_S)
        if self._waiting:
            self._schedule_check()

    def _make_room(self, most: float, stall_s: float) -> None:
        """Close stalled connections while more than some bytes are held."""
        latest_s = asyncio.get_running_loop().time() - stall_s
        for share, since_s in list(self._owing.items()):
            if self.held_bytes <= most or since_s > latest_s:
                return
            if share.has_progressed():
                self.add_owing(share)
            else:
                self._close(share)

    def _close(self, share: 'HeldShare') -> None:
        if self.closed % _CLOSED_PER_LINE == 0:
            _LOG.warning(
                'stalled connection closed',
                extra={
                    'size': share.size,
                    'held_bytes': self.held_bytes,
                    'limit_bytes': self.limit_bytes,
                    'closed': self.closed + 1,
                },
            )
        self.closed += 1
        share.close()


class HeldShare:
    """Bytes that are held for one connection.

    Parameters
    ----------
    account : HeldBytes
        Account of the process.
    on_close : callable
        Closes the connection.
    has_progressed : callable
        Whether the client has read a part of an answer since the last call.
    """

    __slots__ = ('_account', '_on_close', '_owes', 'has_progressed', 'size')

    def __init__(
        self,
        account: HeldBytes,
        on_close: Callable[[], None],
        has_progressed: Callable[[], bool],
    ) -> None:
        """Initialise without bytes."""
        self._account = account
        self._on_close = on_close
        self.has_progressed = has_progressed
        self._owes = False
        self.size = 0

    def resize(self, size: int) -> None:
        """Set the bytes that are held for the connection."""
        change = size - self.size
        if change:
            self.size = size
            self._account.change(change)

    def owe(self, *, has_progressed: bool) -> None:
        """Note that the client has to send or read on.

        Parameters
        ----------
        has_progressed : bool
            Whether it has just done so.
        """
        if has_progressed or not self._owes:
            self._owes = True
            self._account.add_owing(self)

    def settle(self) -> None:
        """Note that the client has nothing to do."""
        if self._owes:
            self._owes = False
            self._account.remove_owing(self)

    def close(self) -> None:
        """Close the connection, and hold nothing for it."""
        self._on_close()
        self.release()

    def release(self) -> None:
        """Hold nothing any more, since the connection has ended."""
        self.settle()
        self.resize(0)

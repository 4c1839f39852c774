"""Account of what a process holds for the connections of its clients."""

import logging
from collections import deque
from collections.abc import Callable
from typing import Final

from mustardspur_core.units import BYTES_PER_MIB

_LOG: Final = logging.getLogger(__name__)

# Part of the memory of the process. Bodies that are being read and large
# answers have an account of their own.
HELD_PART: Final = 0.2
DEFAULT_MEMORY_MB: Final = 300
# Closed connections between two log lines.
_CLOSED_PER_LINE: Final = 100


class HeldBytes:
    """Bytes of heads, unread bodies, running requests and unread answers.

    Explanation
    ===========

    One account for all connections of all listeners of a process. When it is
    full, the connections whose clients have made no progress for the longest
    time are closed first, and no further request is started until there is
    room. A connection that waits for the process itself, because its request
    is running, is never closed.

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

    __slots__ = ('_owing', '_waiting', 'closed', 'held_bytes', 'limit_bytes')

    def __init__(self, memory_mb: float = DEFAULT_MEMORY_MB) -> None:
        """Initialise without connections."""
        self.held_bytes = 0
        self.closed = 0
        # Shares whose clients have to send or read, the longest one first.
        self._owing: dict[HeldShare, None] = {}
        # Called in their order once there is room.
        self._waiting: deque[Callable[[], None]] = deque()
        self.limit_bytes = 0
        self.resize(memory_mb)

    def resize(self, memory_mb: float) -> None:
        """Set the memory of the process."""
        self.limit_bytes = int(HELD_PART * memory_mb * BYTES_PER_MIB)

    @property
    def is_full(self) -> bool:
        """Whether no further request is started."""
        return self.held_bytes >= self.limit_bytes

    def wait(self, on_room: Callable[[], None]) -> None:
        """Call a function once there is room."""
        self._waiting.append(on_room)

    def change(self, size: int) -> None:
        """Change the bytes that are held."""
        self.held_bytes += size
        if size > 0:
            if self.held_bytes > self.limit_bytes:
                self._make_room()
            return
        while self._waiting and self.held_bytes < self.limit_bytes:
            self._waiting.popleft()()

    def add_owing(self, share: 'HeldShare') -> None:
        """Put a share behind all others, since its client has progressed."""
        self._owing.pop(share, None)
        self._owing[share] = None

    def remove_owing(self, share: 'HeldShare') -> None:
        """Remove a share whose client has nothing to do."""
        self._owing.pop(share, None)

    def _make_room(self) -> None:
        while self._owing and self.held_bytes > self.limit_bytes:
            share = next(iter(self._owing))
            self.remove_owing(share)
            if self.closed % _CLOSED_PER_LINE == 0:
                _LOG.warning(
                    'connection closed for its memory',
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
        Closes the connection, at the latest in the next iteration.

    Attributes
    ----------
    size : int
        Bytes that are held.
    """

    __slots__ = ('_account', '_on_close', '_owes', 'size')

    def __init__(
        self,
        account: HeldBytes,
        on_close: Callable[[], None],
    ) -> None:
        """Initialise without bytes."""
        self._account = account
        self._on_close = on_close
        self._owes = False
        self.size = 0

    def change(self, size: int) -> None:
        """Change the bytes that are held for the connection."""
        if size:
            self.size += size
            self._account.change(size)

    def owe(self) -> None:
        """Note that the client has progressed, and has to send or read on."""
        self._owes = True
        self._account.add_owing(self)

    def settle(self) -> None:
        """Note that the client has nothing to do."""
        if self._owes:
            self._owes = False
            self._account.remove_owing(self)

    def close(self) -> None:
        """Close the connection, and hold nothing for it."""
        self._owes = False
        self._on_close()
        self.release()

    def release(self) -> None:
        """Hold nothing any more, since the connection has ended."""
        self.settle()
        self.change(-self.size)

"""Account of the bytes of all bodies that a node holds."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final

from mustardspur_core.held_bytes import DEFAULT_MEMORY_MB
from mustardspur_core.units import BYTES_PER_MIB

# Part of the memory of the process that bodies may take. The interpreter, its
# modules and the state take 50 MiB; the buffers of 250 connections whose
# bodies are not read yet take as much.
ROOM_PART: Final = 0.4
# Bodies of up to this size are counted and never wait.
SMALL_BODY_BYTES: Final = 16_384
# Part of the room that small bodies may take beyond it.
SMALL_PART: Final = 0.1


def _do_nothing() -> None:
    """Stand in for a callback that is not set."""


class BodyRoom:
    """Bytes of the bodies of calls and answers that a node holds.

    Explanation
    ===========

    One account for all directions: bodies of callers from before they are
    read until their calls end, bodies that other nodes send from their
    reservation until the answer is sent, and answers until they are written.

    Parameters
    ----------
    memory_mb : float
        Memory that the process may use, in MiB.

    Attributes
    ----------
    limit_bytes : int
        Bytes that may be held.
    held_bytes : int
        Bytes that are held.
    on_freed : callable
        Called after bytes were released.
    """

    __slots__ = ('held_bytes', 'limit_bytes', 'on_freed')

    def __init__(self, memory_mb: float = DEFAULT_MEMORY_MB) -> None:
        """Initialise without bodies."""
        self.limit_bytes = int(ROOM_PART * memory_mb * BYTES_PER_MIB)
        self.held_bytes = 0
        self.on_freed: Callable[[], None] = _do_nothing

    def resize(self, memory_mb: float) -> None:
        """Set the memory of the process, before any body is held."""
        self.limit_bytes = int(ROOM_PART * memory_mb * BYTES_PER_MIB)

    def fits(self, size: int) -> bool:
        """Return whether a further body fits.

        A body that is larger than the room fits while nothing else is held.
        """
        limit = self.limit_bytes
        if size <= SMALL_BODY_BYTES:
            limit += int(SMALL_PART * limit)
        return not self.held_bytes or self.held_bytes + size <= limit

    def hold(self, size: int) -> None:
        """Count bytes, also beyond the limit."""
        self.held_bytes += size

    def release(self, size: int) -> None:
        """Count bytes as no longer held."""
        self.held_bytes -= size
        if size:
            self.on_freed()

    @contextmanager
    def holding(self, size: int) -> Iterator[None]:
        """Count bytes in a block."""
        self.hold(size)
        try:
            yield
        finally:
            self.release(size)

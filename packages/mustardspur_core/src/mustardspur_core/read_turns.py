"""Bounds the lines of requests that are parsed in one iteration of the loop."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final

# A read with more lines waits for its turn. Heads of ordinary requests, and
# parts of bodies without lines, are far below.
COSTLY_LINES: Final = 64
# Lines that waiting reads may parse in one iteration. A line of a head or of a
# chunk takes a few microseconds in the parser and in the handler.
LINES_PER_TURN: Final = 1024


class ReadTurns:
    """Order in which costly reads of all connections are handled.

    Explanation
    ===========

    The cost of parsing grows with the lines of heads and chunks, not with
    bytes. Reads with many lines are handled in the order of their arrival, a
    bounded number of lines in each iteration of the event loop, so that the
    other connections are served in between. Lines are counted, not times, so
    that the order is the same on every machine.
    """

    __slots__ = ('_lines', '_waiting', '_wakes')

    def __init__(self) -> None:
        """Initialise without waiting reads."""
        self._waiting: deque[Callable[[], None]] = deque()
        # Lines of each of them.
        self._lines: deque[int] = deque()
        self._wakes = False

    def wait(self, lines: int, handle: Callable[[], None]) -> None:
        """Call a function when it is its turn, not before the next iteration.

        Parameters
        ----------
        lines : int
            Lines that it parses.
        handle : callable
            Handles the read.
        """
        self._lines.append(lines)
        self._waiting.append(handle)
        self._wake()

    def _wake(self) -> None:
        if self._waiting and not self._wakes:
            self._wakes = True
            asyncio.get_running_loop().call_soon(self._handle_next)

    def _handle_next(self) -> None:
        self._wakes = False
        loop = asyncio.get_running_loop()
        left = LINES_PER_TURN
        while self._waiting and left > 0:
            left -= self._lines.popleft()
            # Handled apart, so that a failure ends no other one.
            loop.call_soon(self._waiting.popleft())
        self._wake()

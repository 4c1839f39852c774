"""A monotonic clock that leaves out stalls of the process."""

import time
from collections.abc import Callable
from typing import Final

# Leases are checked four times a second, so a longer step between two
# readings means that the process was stalled.
MAX_STEP_S: Final = 0.5


class RunningClock:
    """Monotonic clock that counts at most `MAX_STEP_S` per reading.

    Explanation
    ===========

    After a stall, timers fire before the frames that arrived during it are
    read. With this clock a lease does not expire during a stall in which its
    renewal could not be read.

    Parameters
    ----------
    clock : callable, optional
        Monotonic clock to read, in seconds.
    """

    __slots__ = ('_clock', '_last_s', '_running_s')

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Initialise the clock at 0 seconds."""
        self._clock = clock
        self._last_s = clock()
        self._running_s: float = 0

    def __call__(self) -> float:
        """Return the running time since creation in seconds."""
        now_s = self._clock()
        self._running_s += min(now_s - self._last_s, MAX_STEP_S)
        self._last_s = now_s
        return self._running_s

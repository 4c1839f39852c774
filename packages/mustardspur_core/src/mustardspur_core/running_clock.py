"""A monotonic clock of the time in which the process ran."""

import time
from collections.abc import Callable
from typing import Final

# Longest time that one reading adds. Leases are checked four times a second,
# so that a longer step means that the process got no processor.
MAX_STEP_S: Final = 0.5


class RunningClock:
    """Clock that does not count the time in which the process stood still.

    Explanation
    ===========

    After a stall, timers fire before the frames that arrived meanwhile are
    read. On this clock a lease does not end in a time in which its renewal
    could not be read.

    Parameters
    ----------
    clock : callable, optional
        Monotonic clock in seconds.
    """

    __slots__ = ('_clock', '_last_s', '_running_s')

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Start at 0."""
        self._clock = clock
        self._last_s = clock()
        self._running_s: float = 0

    def __call__(self) -> float:
        """Return the seconds since the start without those of stalls."""
        now_s = self._clock()
        self._running_s += min(now_s - self._last_s, MAX_STEP_S)
        self._last_s = now_s
        return self._running_s

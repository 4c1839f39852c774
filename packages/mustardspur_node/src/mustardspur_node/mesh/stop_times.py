"""Times of the planned stop of a node."""

import asyncio
from typing import Final

from mustardspur_core.suspension import suspended_s

# Callers stop using a node after two failed readiness checks, one a second.
READINESS_DELAY_S: Final = 2.3
# Part of the grace time that is reserved for the exit of the process; calls in
# flight may use the rest. A reserve of 0.8 of 6 s was too short on a busy
# instance, where two processes were killed.
EXIT_RESERVE_PART: Final = 1 / 6
# Part of the grace time after which no call is placed any more that could
# still run at its end.
LATE_PART: Final = 0.5
# Time before the end of the grace time's usable part at which calls that were
# not sent are ended, so that their refusals reach the callers.
END_UNSENT_S: Final = 0.5
# A process whose event loop ran no check for this time had no processor time.
MIN_GAP_S: Final = 0.5
# Time after a gap within which the signals that arrived in it are handled.
HANDLING_S: Final = 0.5


def clock_s() -> float:
    """Return the event loop's time plus the time of suspensions.

    The grace time passes also while the instance is suspended.
    """
    return asyncio.get_running_loop().time() + suspended_s()


class LoopGaps:
    """Times in which the event loop did not run.

    Explanation
    ===========

    A signal that arrives in such a time is handled only after it, and tells
    nothing about the time at which it was sent.
    """

    __slots__ = ('_gap_end_s', '_gap_start_s', '_last_s')

    def __init__(self) -> None:
        """Initialise with a loop that runs."""
        self._last_s = clock_s()
        self._gap_start_s = self._last_s
        self._gap_end_s = self._last_s - HANDLING_S

    def record(self) -> bool:
        """Record that the loop runs; called more often than `MIN_GAP_S`.

        Returns
        -------
        bool
            Whether the loop did not run before.
        """
        now_s = clock_s()
        has_gap = now_s - self._last_s > MIN_GAP_S
        if has_gap:
            self._gap_start_s = self._last_s
            self._gap_end_s = now_s
        self._last_s = now_s
        return has_gap

    def earliest_arrival_s(self) -> float:
        """Return the earliest time at which a signal handled now arrived."""
        self.record()
        if self._last_s - self._gap_end_s < HANDLING_S:
            return self._gap_start_s
        return self._last_s


class StopTimes:
    """Times of a planned stop on the clock of `clock_s`.

    Explanation
    ===========

    The process is killed at the end of the grace time, which starts when the
    signal is sent. Where that may have been long before it was handled, calls
    that were not sent to a target are refused in time for the earliest kill.
    Those that a target runs are awaited as long as the kill may not have come.

    Parameters
    ----------
    grace_s : float
        Time between the stop signal and the kill.
    arrived_s : float
        Earliest time at which the signal arrived.

    Attributes
    ----------
    delayed_s : float
        Longest time for which the signal may have waited.
    listening_until_s : float
        Until then, new connections are accepted.
    late_from_s : float
        From then on, calls that could run after `runs_until_s` are refused.
    unsent_until_s : float
        From then on, all calls that were not sent are refused, and connections
        whose callers have their last answers are not waited for.
    runs_until_s : float
        Deadline of the calls that are placed late.
    end_s : float
        End of the calls in flight.
    """

    __slots__ = (
        '_handled_s',
        'delayed_s',
        'end_s',
        'late_from_s',
        'listening_until_s',
        'runs_until_s',
        'unsent_until_s',
    )

    def __init__(self, grace_s: float, arrived_s: float) -> None:
        """Initialise the times of a stop whose signal is handled now."""
        handled_s = clock_s()
        self._handled_s = handled_s
        usable_s = grace_s * (1 - EXIT_RESERVE_PART)
        self.delayed_s = handled_s - arrived_s
        self.late_from_s = arrived_s + grace_s * LATE_PART
        self.runs_until_s = arrived_s + usable_s
        self.unsent_until_s = self.runs_until_s - END_UNSENT_S
        # Later connections would be refused all their calls, and a process
        # that handles its signal late would use up its time for the exit.
        self.listening_until_s = min(
            handled_s + READINESS_DELAY_S,
            self.unsent_until_s,
        )
        self.end_s = handled_s + usable_s

    def elapsed_s(self) -> float:
        """Return the time since the signal was handled."""
        return clock_s() - self._handled_s

"""Slow start: stepwise traffic share of new and reinstated targets."""

from typing import Final

NEW_TARGET_SLOW_START_S: Final = 8.0
REINSTATED_SLOW_START_S: Final = 4.0
_STEPS: Final = (0.1, 0.25, 0.5, 0.75)


class SlowStart:
    """Traffic share of a target during its slow start.

    Parameters
    ----------
    started_at : float
        Time of the event loop in seconds at which the first step starts.
    duration_s : float
        Time until the target receives its full share; 0 for no slow start.
    """

    __slots__ = ('_ends_at', '_started_at', '_step_s')

    def __init__(self, started_at: float, duration_s: float) -> None:
        """Initialise with steps of equal duration."""
        self._started_at = started_at
        self._ends_at = started_at + duration_s
        self._step_s = duration_s / len(_STEPS)

    def active(self, now: float) -> bool:
        """Return whether the target receives less than its full share."""
        return now < self._ends_at

    def share(self, now: float) -> float:
        """Return the share, 1 after the last step."""
        if now >= self._ends_at:
            return 1.0
        return _STEPS[int((now - self._started_at) / self._step_s)]

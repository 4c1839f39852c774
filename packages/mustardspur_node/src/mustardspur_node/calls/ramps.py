"""Stepwise share of the traffic for new and returning targets."""

from typing import Final

COLD_START_S: Final = 8.0
RETURN_S: Final = 4.0
_STEPS: Final = (0.1, 0.25, 0.5, 0.75)


class Ramp:
    """Share of its usual traffic that a target gets for now.

    Parameters
    ----------
    started_at : float
        Start of the first step, by the loop's clock in seconds.
    duration_s : float
        Time until the target gets its full share; 0 for at once.
    """

    __slots__ = ('_ends_at', '_started_at', '_step_s')

    def __init__(self, started_at: float, duration_s: float) -> None:
        """Divide the duration into equal steps."""
        self._started_at = started_at
        self._ends_at = started_at + duration_s
        self._step_s = duration_s / len(_STEPS)

    def active(self, now: float) -> bool:
        """Return whether the target gets less than its full share."""
        return now < self._ends_at

    def share(self, now: float) -> float:
        """Return the share, 1 after the last step."""
        if now >= self._ends_at:
            return 1.0
        return _STEPS[int((now - self._started_at) / self._step_s)]

"""Time for which large bodies of callers hold their room."""

from typing import Final

# Weight of the latest body in the mean.
HOLD_WEIGHT: Final = 0.3


class HoldTime:
    """Mean time for which the latest bodies held their room.

    Attributes
    ----------
    mean_s : float
        The mean, 0 before the first body has ended.
    """

    __slots__ = ('mean_s',)

    def __init__(self) -> None:
        """Initialise without bodies."""
        self.mean_s: float = 0

    def record(self, held_s: float) -> None:
        """Record a body that was read whole and whose call has ended."""
        weight = HOLD_WEIGHT if self.mean_s else 1
        self.mean_s += weight * (held_s - self.mean_s)

    def expected_s(self, oldest_s: float) -> float:
        """Return the expected time.

        Parameters
        ----------
        oldest_s : float
            Age of the oldest body with room. It is a lower bound before the
            first body has ended.
        """
        return self.mean_s or oldest_s

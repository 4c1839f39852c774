"""When an instance last heard from a leader."""

from typing import Final

# Stands for "never" on the wire, which has no infinity.
MAX_AGE_S: Final = 1e9


class Contact:
    """When the instance last heard from a leader, by the loop's clock.

    Parameters
    ----------
    heard_s : float
        Last request of the current leader.
    upstream_s : float
        When the upstream, or its own upstream, heard from a leader.
    matched_term, matched_index : int
        Up to where the log is known to equal that of a leader.
    """

    __slots__ = ('heard_s', 'upstream_s', 'matched_term', 'matched_index')

    def __init__(self) -> None:
        """Start without any contact."""
        self.heard_s = float('-inf')
        self.upstream_s = float('-inf')
        self.matched_term = 0
        self.matched_index = 0

    def age_s(self, now_s: float) -> float:
        """Return the seconds since a leader was heard, directly or not."""
        return min(now_s - max(self.heard_s, self.upstream_s), MAX_AGE_S)

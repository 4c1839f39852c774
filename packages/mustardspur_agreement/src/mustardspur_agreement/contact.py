"""Time of the last contact with a leader."""

from typing import Final

# Means "never" on the wire, which has no infinity.
MAX_AGE_S: Final = 1e9


class Contact:
    """Last contact with a leader, in seconds of the loop's clock.

    Parameters
    ----------
    heard_s : float
        Time of the last request of the current leader.
    upstream_s : float
        Time when the upstream last had contact, directly or through its own
        upstream.
    matched_term, matched_index : int
        Term of a leader and the index up to which the log matches its log.
    """

    __slots__ = ('heard_s', 'upstream_s', 'matched_term', 'matched_index')

    def __init__(self) -> None:
        """Initialise without any contact."""
        self.heard_s = float('-inf')
        self.upstream_s = float('-inf')
        self.matched_term = 0
        self.matched_index = 0

    def age_s(self, now_s: float) -> float:
        """Return the seconds since the last contact, direct or by upstream."""
        return min(now_s - max(self.heard_s, self.upstream_s), MAX_AGE_S)

"""Time of the last contact with a leader."""

from typing import Final

# Age in messages if there was no contact; the messages have no infinity.
MAX_AGE_S: Final = 1e9


class Contact:
    """Last contact with a leader, in seconds of the loop's clock.

    Parameters
    ----------
    leader_s : float
        Time of the last request of a leader to this instance.
    upstream_s : float
        Time of the last contact of the upstream with a leader, directly or
        through its own upstream.
    """

    __slots__ = ('leader_s', 'upstream_s')

    def __init__(self) -> None:
        """Initialise without any contact."""
        self.leader_s = float('-inf')
        self.upstream_s = float('-inf')

    def age_s(self, now_s: float) -> float:
        """Return the seconds since the last contact, own or upstream's."""
        return min(now_s - max(self.leader_s, self.upstream_s), MAX_AGE_S)

"""Rate of calls that a target accepts, as its answers state it."""

import asyncio
import math


class StatedRateLimit:
    """Rate limit that the local target states in its answers.

    Explanation
    ===========

    A limit holds until an answer states another one or none. An answer
    without a limit to a call that was sent before the limit was last stated
    says nothing about the time since.

    Attributes
    ----------
    per_s : float or None
        Calls a second that the target accepts from all nodes together, None
        without a limit.
    """

    __slots__ = ('_stated_s', 'per_s')

    def __init__(self) -> None:
        """Initialise without a limit."""
        self._stated_s: float = 0
        self.per_s: float | None = None

    def record(self, per_s: float | None, sent_s: float) -> bool:
        """Apply what an answer states.

        Parameters
        ----------
        per_s : float or None
            Calls a second that the answer states, None if it states none.
        sent_s : float
            Time on the event loop's clock at which the call was sent.

        Returns
        -------
        bool
            Whether the limit changed.
        """
        if per_s is None and sent_s < self._stated_s:
            return False
        previous = self.per_s
        self.per_s = per_s
        if per_s is not None:
            self._stated_s = asyncio.get_running_loop().time()
        return per_s != previous


def parse_rate(text: str) -> float:
    """Return the rate of a header value in calls a second.

    Raises
    ------
    ValueError
        If the value is not a finite number of at least 0.
    """
    rate = float(text)
    if not math.isfinite(rate) or rate < 0:
        raise ValueError(f'expected a rate of at least 0, found {text!r}')
    return rate

"""Jittered delays between connection attempts."""

import random
from typing import Final

FIRST_DELAY_S: Final = 0.1
MAX_DELAY_S: Final = 2.0


class Backoff:
    """Delays whose upper limit doubles up to a maximum.

    Explanation
    ===========

    Each delay is drawn between half of the limit and the limit.

    Parameters
    ----------
    random_source : random.Random, optional
        Source of the jitter.
    """

    __slots__ = ('_random_source', '_upper_limit_s')

    def __init__(self, random_source: random.Random | None = None) -> None:
        """Initialise with the shortest delay."""
        self._random_source = random_source or random.Random()
        self._upper_limit_s = FIRST_DELAY_S

    def reset(self) -> None:
        """Reset to the shortest delay."""
        self._upper_limit_s = FIRST_DELAY_S

    def next_s(self) -> float:
        """Return the next delay in seconds."""
        upper_limit_s = self._upper_limit_s
        self._upper_limit_s = min(MAX_DELAY_S, 2 * upper_limit_s)
        return self._random_source.uniform(upper_limit_s / 2, upper_limit_s)

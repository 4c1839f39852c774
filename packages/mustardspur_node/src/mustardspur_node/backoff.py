"""Jittered delays between attempts to connect."""

import random
from typing import Final

FIRST_DELAY_S: Final = 0.1
LONGEST_DELAY_S: Final = 2.0


class Backoff:
    """Delays that double up to a limit, each drawn from its lower half up.

    Parameters
    ----------
    choice : random.Random, optional
        Source of the jitter.
    """

    __slots__ = ('_choice', '_limit_s')

    def __init__(self, choice: random.Random | None = None) -> None:
        """Start with the shortest delay."""
        self._choice = choice or random.Random()
        self._limit_s = FIRST_DELAY_S

    def reset(self) -> None:
        """Start again with the shortest delay."""
        self._limit_s = FIRST_DELAY_S

    def next_s(self) -> float:
        """Return the next delay in seconds."""
        limit_s = self._limit_s
        self._limit_s = min(LONGEST_DELAY_S, 2 * limit_s)
        return self._choice.uniform(limit_s / 2, limit_s)

"""Credit for retries that the calls of a node earn."""

import math
import random
from typing import Final

# Part of the ratio that a call earns. The rest covers the edges of a window:
# credit that was saved before it, and retries that wait before they arrive.
EARNED_FRACTION: Final = 0.8
# Credit is saved for the calls of this time. With 1 s, the bound was exceeded
# by 59 retries after the calls of a failing service fell to almost none.
SAVED_S: Final = 0.5
# No draw is made for less credit.
_MIN_CREDIT: Final = 0.001


class RetryCredit:
    """Credit of a node for the retries of one service.

    Explanation
    ===========

    A call that arrives at a target earns a fraction of a retry. The credit is
    limited to what the calls of the last `SAVED_S` earned, so that the retries
    in any window are a fraction of the calls in that window and shortly
    before. A limit on the retries in a sliding window is exceeded: the
    retries of 10 s may be made at once, and again 10 s later. As they arrive
    with different delays, some windows contain both bursts.

    Nested retries cannot be refused, and leave a debt that later calls repay.

    A node that has earned less than a whole retry draws at random: it
    gives its credit for a retry with a probability equal to the credit.

    Parameters
    ----------
    ratio : float
        Retries for each call that all nodes together may make.
    window_s : float
        Length of the window in which the ratio holds, in seconds.
    generator : random.Random
        Source of the draws.
    """

    __slots__ = (
        '_balance',
        '_generator',
        '_recent',
        '_updated_s',
        '_window_s',
        'earned',
    )

    def __init__(
        self,
        ratio: float,
        window_s: float,
        generator: random.Random,
    ) -> None:
        """Initialise without calls."""
        self.earned = EARNED_FRACTION * ratio
        self._window_s = window_s
        self._generator = generator
        self._balance: float = 0
        # Calls with a weight that falls with their age, about those of the
        # last `SAVED_S`.
        self._recent: float = 0
        self._updated_s = float('-inf')

    def record_call(self, now_s: float) -> None:
        """Add what a call earns that arrived at a target."""
        self._update(now_s)
        self._recent += 1
        self._balance += self.earned
        self._balance = min(self._balance, self._max_balance)

    def record_nested_retry(self, now_s: float) -> None:
        """Subtract a retry that was made without asking."""
        self._update(now_s)
        self._balance -= 1

    def is_overdrawn(self, now_s: float) -> bool:
        """Whether nested retries exceed what recent calls earned."""
        self._update(now_s)
        return self._balance < -max(self._max_balance, 1)

    def try_take(self, now_s: float) -> bool:
        """Take a whole retry and return whether there was one."""
        self._update(now_s)
        if self._balance < 1:
            return False
        self._balance -= 1
        return True

    def try_draw(self, now_s: float) -> bool:
        """Give the credit, less than a whole one, for a chance of a retry."""
        self._update(now_s)
        if self._balance < _MIN_CREDIT:
            return False
        chance = self._balance
        self._balance = 0
        return self._generator.random() < chance

    @property
    def _max_balance(self) -> float:
        return self.earned * self._recent

    def _update(self, now_s: float) -> None:
        elapsed_s = now_s - self._updated_s
        if elapsed_s <= 0:
            return
        self._updated_s = now_s
        self._recent *= math.exp(-elapsed_s / SAVED_S)
        if self._balance < 0:
            # A debt does not outlast the window that it belongs to.
            self._balance *= math.exp(-elapsed_s / self._window_s)
        self._balance = min(self._balance, self._max_balance)

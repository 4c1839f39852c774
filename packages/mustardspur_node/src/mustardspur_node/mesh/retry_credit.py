"""Credit of a node for retries."""

import math
import random
from typing import Final

from mustardspur_core.mesh.retry_limits import (
    EARNED_PART,
    EQUAL_RATE_PART,
    HELD_PART,
)
from mustardspur_core.settings import MeshSettings

from mustardspur_node.mesh.known_nodes import KnownNodes

# Credit of calls is saved for this time. With 1 s, the bound was exceeded by 36
# retries after the calls of a failing service fell from 1,100 to 30 a second.
SAVED_S: Final = 0.5
# No draw is made for less credit.
_MIN_CREDIT: Final = 0.001


class RetryCredit:
    """Credit of a node for the retries of one service.

    Explanation
    ===========

    A call that arrives at a target earns a fraction of a retry, and the node
    gets its equal part of the fixed number. The credit is limited to what the
    calls of the last `SAVED_S` earned, or to an equal part of the fixed number
    if that is more, so that the retries in any window depend on the calls in
    that window and shortly before. A limit on the retries in a sliding window
    is exceeded: the retries of 10 s may be made at once, and again 10 s later.
    As they arrive with different delays, some windows contain both bursts.

    Nested retries cannot be refused, and leave a debt that later calls repay.

    A node that has less than a whole retry draws at random: it gives its
    credit for a retry with a probability equal to the credit. The parts of
    many nodes are used in this way, where each is less than a retry.

    Parameters
    ----------
    mesh : MeshSettings
        Ratio, fixed number and window of the shared budget.
    nodes : KnownNodes
        Nodes that share the fixed number.
    generator : random.Random
        Source of the draws.
    """

    __slots__ = (
        '_balance',
        '_generator',
        '_held',
        '_mesh',
        '_nodes',
        '_recent',
        '_updated_s',
    )

    def __init__(
        self,
        mesh: MeshSettings,
        nodes: KnownNodes,
        generator: random.Random,
    ) -> None:
        """Initialise without credit."""
        self._mesh = mesh
        self._nodes = nodes
        # Credit that the node may hold without calls.
        self._held: float = 0
        self._generator = generator
        self._balance: float = 0
        # Calls with a weight that falls with their age, about those of the
        # last `SAVED_S`.
        self._recent: float = 0
        self._updated_s: float | None = None

    @property
    def has_whole(self) -> bool:
        """Whether the next call could be retried without a draw."""
        return self._balance >= 1

    def record_call(self, now_s: float) -> None:
        """Add what a call earns that arrived at a target."""
        self._update(now_s)
        self._recent += 1
        self._add(EARNED_PART * self._mesh.retry_ratio)

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
        earned = EARNED_PART * self._mesh.retry_ratio * self._recent
        return max(earned, self._held)

    def _add(self, credit: float) -> None:
        self._balance = min(self._balance + credit, self._max_balance)

    def _update(self, now_s: float) -> None:
        if self._updated_s is None:
            self._updated_s = now_s
        elapsed_s = now_s - self._updated_s
        if elapsed_s <= 0:
            return
        self._updated_s = now_s
        window_s = self._mesh.retry_window_s
        self._recent *= math.exp(-elapsed_s / SAVED_S)
        if self._balance < 0:
            # A debt does not outlast the window that it belongs to.
            self._balance *= math.exp(-elapsed_s / window_s)
        part = self._mesh.retry_slack / self._nodes.count(now_s)
        self._held = HELD_PART * part
        self._add(EQUAL_RATE_PART * part * elapsed_s / window_s)

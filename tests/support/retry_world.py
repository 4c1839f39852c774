"""Nodes whose calls fail, and the retries that they make."""

import random
from collections import Counter
from typing import Any, Final

from mustardspur_core.record import Record, replaced
from mustardspur_node.mesh.shared_retries import SharedRetries

from tests.core.mesh.builders import mesh_settings
from tests.support.virtual_time import ticks, virtual_now_s

TICK_S: Final = 0.01
WINDOW_TICKS: Final = 1000
# A retry arrives at a target after up to this time, since it may wait.
MAX_WAIT_TICKS: Final = 50
RATIO: Final = 0.2
SLACK: Final = 164
SERVICE: Final = 'orders'
# Fixed part of the page's deployment, in a window of 10 s.
MESH: Final = replaced(mesh_settings(), retry_slack=SLACK)


class Load(Record):
    """Calls for some time: how many fail, and how many are nested retries."""

    __slots__ = ('for_s', 'per_s', 'failing', 'nested')
    for_s: float
    per_s: float
    failing: float
    nested: float


class RetryWorld:
    """Nodes that call one service and retry the calls that failed."""

    def __init__(self, nodes: int, budgets: list[Any] | None = None) -> None:
        """Initialise the nodes without calls."""
        self.random = random.Random(11)
        self.budgets: list[Any] = budgets or [
            SharedRetries(MESH, random.Random(number))
            for number in range(nodes)
        ]
        self.calls: Counter[int] = Counter()
        self.retries: Counter[int] = Counter()
        self.failed = 0
        self.retried = 0

    async def play(self, load: Load, budgets: list[Any] | None = None) -> None:
        """Make calls at random times at random nodes."""
        async for _ in ticks(round(load.for_s / TICK_S), TICK_S):
            count = load.per_s * TICK_S + self.random.random()
            for _ in range(int(count)):
                self._call(self.random.choice(budgets or self.budgets), load)

    def excess(self) -> float:
        """Return by how many retries the worst window exceeds the bound."""
        worst = float('-inf')
        margin: float = SLACK
        for tick in range(round(virtual_now_s() / TICK_S) + WINDOW_TICKS):
            left = tick - WINDOW_TICKS
            margin += RATIO * (self.calls[tick] - self.calls[left])
            margin -= self.retries[tick] - self.retries[left]
            worst = max(worst, -margin)
        return worst

    def _call(self, budget: Any, load: Load) -> None:
        tick = round(virtual_now_s() / TICK_S)
        nested = load.nested if budget.may_run_retries() else 0
        is_retry = self.random.random() < nested
        counts = self.retries if is_retry else self.calls
        counts[tick] += 1
        budget.record_first_arrival(
            SERVICE, is_retry=budget.is_nested_retry(SERVICE, nested)
        )
        if self.random.random() < load.failing:
            self.failed += 1
            if budget.try_acquire(SERVICE, len(self.budgets)):
                self.retried += 1
                wait = self.random.randrange(MAX_WAIT_TICKS)
                self.retries[tick + wait] += 1

"""Nodes whose calls fail, and the retries that they make."""

import random
from collections import Counter
from typing import Any, Final

from mustardspur_core.record import Record, replaced
from mustardspur_node.mesh.shared_retries import SharedRetries

from tests.core.mesh.builders import mesh_settings
from tests.support.allowance_world import Node, World
from tests.support.virtual_time import ticks, virtual_now_s

TICK_S: Final = 0.01
WINDOW_TICKS: Final = 1000
# A retry arrives at a target within 0.5 s, since it may wait.
MAX_WAIT_TICKS: Final = 50
RATIO: Final = 0.2
SLACK: Final = 164
SERVICE: Final = 'forms'
CONTROLS: Final = 4
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

    def __init__(self, nodes: int) -> None:
        """Initialise the nodes without calls, and their control instances."""
        self.random = random.Random(11)
        self.mesh = World(60, nodes, CONTROLS, MESH)
        self.budgets: list[Any] = [
            SharedRetries(
                MESH,
                self.mesh.view,
                random.Random(node.name),
                node.allowances.requests,
            )
            for node in self.mesh.nodes
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
                budget = self.random.choice(budgets or self.budgets)
                self._call(budget, load)

    def cut_off(self, nodes: list[Node]) -> None:
        """Take the control instance from some nodes."""
        for node in nodes:
            node.attach(None)

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
            if budget.try_acquire(SERVICE):
                self.retried += 1
                wait = self.random.randrange(MAX_WAIT_TICKS)
                self.retries[tick + wait] += 1

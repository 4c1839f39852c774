"""Tests of the shared budget for repeats."""

import asyncio

from mustardspur_node.mesh.retry_budget import RetryBudget

from tests.core.mesh.builders import mesh_settings
from tests.support.virtual_time import in_virtual_time, ticks


@in_virtual_time
async def test_all_nodes_together_stay_within_the_bound() -> None:
    """Guards against repeats that overload a service that fails."""
    nodes = 12
    budgets = [RetryBudget(mesh_settings()) for _ in range(nodes)]
    calls = 0
    repeats = 0
    async for _ in ticks(500, 0.01):
        for budget in budgets:
            budget.note_call('forms')
            calls += 1
            repeats += budget.take('forms', nodes)
    assert 0 < repeats <= 0.2 * calls + 60


@in_virtual_time
async def test_budget_returns_with_time() -> None:
    """Guards against a burst that uses up the budget for good."""
    budget = RetryBudget(mesh_settings())
    while budget.take('forms', 1):
        await asyncio.sleep(0)
    await asyncio.sleep(10.1)
    assert budget.take('forms', 1)
    assert budget.take('stamps', 1)

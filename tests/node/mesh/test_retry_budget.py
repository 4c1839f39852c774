"""Tests of the shared retry budget."""

import asyncio

from mustardspur_node.mesh.retry_budget import USED_FRACTION, MeshRetryBudget

from tests.core.mesh.builders import mesh_settings
from tests.support.virtual_time import in_virtual_time, ticks


@in_virtual_time
async def test_all_nodes_together_stay_within_the_limit() -> None:
    """Guards against retries that overload a failing service."""
    nodes = 12
    budgets = [MeshRetryBudget(mesh_settings()) for _ in range(nodes)]
    calls = 0
    retries = 0
    async for _ in ticks(500, 0.01):
        for budget in budgets:
            budget.record_call('forms')
            calls += 1
            retries += budget.try_acquire('forms', nodes)
    assert 0 < retries <= 0.2 * calls + 60


@in_virtual_time
async def test_budget_recovers_after_the_window() -> None:
    """Guards against a burst that uses up the budget permanently."""
    budget = MeshRetryBudget(mesh_settings())
    while budget.try_acquire('forms', 1):
        await asyncio.sleep(0)
    await asyncio.sleep(10.1)
    assert budget.try_acquire('forms', 1)
    assert budget.try_acquire('stamps', 1)


@in_virtual_time
async def test_retries_of_outer_calls_count_for_nested_ones() -> None:
    """Guards against retries of one service that add to those of the service
    which it calls.

    A tenth of the outer calls are retries.
    """
    budget = MeshRetryBudget(mesh_settings())
    retries = 0
    for _ in range(200):
        budget.record_call('stamps')
        budget.record_nested('stamps', 0.1)
    while budget.try_acquire('stamps', 12):
        retries += 1
    assert retries + 200 * 0.1 <= USED_FRACTION * (0.2 * 200 + 60 / 12) + 1

"""Tests of the shared budget for repeats."""

import asyncio

from mustardspur_core.settings import MeshSettings
from mustardspur_node.mesh.retry_budget import RetryBudget

from tests.support.virtual_time import in_virtual_time, ticks


def mesh_settings() -> MeshSettings:
    """Return settings with the usual bounds."""
    return MeshSettings(
        seeds=[],
        first_start=False,
        target_address=None,
        drain_s=2.5,
        grace_s=6.0,
        apply_s=2.5,
        contact_s=3.0,
        retry_ratio=0.2,
        retry_slack=60,
        retry_window_s=10.0,
        exposure_share=0.1,
        exposure_slack=50,
        rollback_s=5.0,
    )


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

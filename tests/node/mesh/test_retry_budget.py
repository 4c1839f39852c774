"""Tests of the shared retry budget."""

import asyncio

from mustardspur_core.record import replaced
from mustardspur_node.mesh.retry_budget import MeshRetryBudget

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
async def test_nested_retries_stay_within_the_limit() -> None:
    """Guards against calls within the retries of one service that, with the
    retries of the service which they call, exceed the limit of the latter.

    The load of 10 s: 82 nodes, 140 and 65 calls each of which all fail; a run
    of the outer service makes 1.4 calls to the inner one.
    """
    nodes = 82
    settings = replaced(mesh_settings(), retry_slack=202)
    retries = {'inner': 0, 'outer': 0}
    for _ in range(nodes):
        budget = MeshRetryBudget(settings)
        for service, calls in (('inner', 140), ('outer', 65)):
            for _ in range(calls):
                budget.record_call(service)
            while budget.try_acquire(service, nodes):
                retries[service] += 1
    bound = 0.2 * nodes * 140 + 202
    assert retries['inner'] + 1.4 * retries['outer'] <= bound

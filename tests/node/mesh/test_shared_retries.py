"""Tests of the retry budget of all nodes where the table has accounts.

The load is that of the service orders in docs/hard-load.md: 1,100 calls a
second at 62 nodes with 4 control instances, 164 retries in 10 s beside a fifth
of the calls. Retries arrive up to 0.5 s after they were granted.
"""

import asyncio
import random

import pytest
from mustardspur_core.mesh.control_messages import AllowanceShare
from mustardspur_core.record import replaced
from mustardspur_node.mesh.call_retries import CallRetries
from mustardspur_node.mesh.calls import PlacementFault
from mustardspur_node.mesh.retry_allowance import RetryAllowance
from mustardspur_node.mesh.view import MeshView, RouteIndex

from tests.core.mesh.builders import account, mesh_settings, table
from tests.node.mesh.builders import call_open, local_target, mesh_call
from tests.support.retry_world import SERVICE, SLACK, Load, RetryWorld
from tests.support.virtual_time import in_virtual_time

NODES = 62


def _load(for_s: float, **changes: float) -> Load:
    fields: dict[str, float] = {'per_s': 1100, 'failing': 0, 'nested': 0}
    return Load(for_s=for_s, **(fields | changes))


@pytest.mark.parametrize('per_s', [30, 330, 1100])
@in_virtual_time
async def test_calls_that_fall_after_a_burst_of_retries(per_s: float) -> None:
    """Guards against retries that are saved for 10 s, made at once and then
    stand beside fewer calls, or beside those of the next 10 s.
    """
    world = RetryWorld(NODES)
    async with world.mesh.running():
        await world.play(_load(10))
        await world.play(_load(0.3, failing=1))
        await world.play(_load(12, per_s=per_s, failing=1))
    assert world.excess() <= 0


@pytest.mark.parametrize('nested', [0.12, 0.19, 0.5])
@in_virtual_time
async def test_nested_retries_after_own_ones(nested: float) -> None:
    """Guards against own retries that leave no room for the nested retries
    which follow them, and against nested ones that alone exceed the bound.
    """
    world = RetryWorld(NODES)
    async with world.mesh.running():
        await world.play(_load(10))
        await world.play(_load(5, failing=0.4))
        await world.play(_load(10, failing=0.22, nested=nested))
    assert world.excess() <= 0


@pytest.mark.parametrize(
    ('failing', 'retried'), [(0.05, 0.92), (0.1, 0.84), (0.4, 0.38)]
)
@in_virtual_time
async def test_targets_that_fail_at_all_nodes(
    failing: float,
    retried: float,
) -> None:
    """Guards against retries beyond the bound, and against credit that is lost
    between the calls of one node.
    """
    world = RetryWorld(NODES)
    async with world.mesh.running():
        await world.play(_load(20, failing=failing))
    assert world.excess() <= 0
    assert world.retried > retried * world.failed


@pytest.mark.parametrize(('per_s', 'retried'), [(12, 0.7), (60, 0.5)])
@in_virtual_time
async def test_nodes_with_few_calls(per_s: float, retried: float) -> None:
    """Guards against nodes that make a call in 1 to 5 s and can hardly
    retry it.
    """
    world = RetryWorld(NODES)
    async with world.mesh.running():
        await world.play(_load(60, per_s=per_s, failing=0.4))
    assert world.excess() <= 0
    assert world.retried > retried * world.failed


@in_virtual_time
async def test_five_nodes_see_failing_targets() -> None:
    """Guards against a fixed part of the budget that is divided among nodes
    which do not need it.
    """
    world = RetryWorld(NODES)
    few, others = world.budgets[:5], world.budgets[5:]
    async with world.mesh.running():
        await asyncio.gather(
            world.play(_load(20, per_s=1100 * 57 / NODES), others),
            world.play(_load(20, per_s=1100 * 5 / NODES, failing=0.4), few),
        )
    assert world.excess() <= 0
    assert world.retried > 0.5 * world.failed


@pytest.mark.parametrize('per_s', [30, 150, 1100])
@in_virtual_time
async def test_control_instances_lost(per_s: float) -> None:
    """Guards against retries beyond the bound while one control instance is
    lost and restarted, the others are cut in halves, half of the nodes are
    cut off, and then all of them.
    """
    world = RetryWorld(NODES)
    load = _load(6, per_s=per_s, failing=0.8)
    lost = world.mesh.controls['control-0']
    moved = world.mesh.nodes[::4]
    async with world.mesh.running():
        await world.play(load)
        lost.alive = False
        for node in moved:
            node.attach(world.mesh.controls['control-1'])
        await world.play(load)
        restarted = world.mesh.restart('control-0')
        for returned in moved:
            returned.attach(restarted)
        world.mesh.cut = {'control-0', 'control-1'}
        await world.play(load)
        world.cut_off(world.mesh.nodes[::2])
        await world.play(load)
        world.cut_off(world.mesh.nodes)
        await world.play(load)
    assert world.excess() <= 0


@in_virtual_time
async def test_fixed_part_without_control_instances() -> None:
    """Guards against nodes that have no fixed part alone, or too much."""
    world = RetryWorld(NODES)
    world.cut_off(world.mesh.nodes)
    await world.play(_load(40, per_s=300, failing=1))
    fixed = world.retried - 0.8 * 0.2 * 40 * 300
    assert 0.1 * SLACK < fixed / 4 < 0.3 * SLACK


def test_limit_that_the_control_instance_lacks() -> None:
    """Guards against a request every 50 ms to a control instance that does
    not know the limit.
    """
    allowance = RetryAllowance(SERVICE)
    assert allowance.record_failure(0)
    unknown = AllowanceShare(
        limit=allowance.limit,
        tokens=0,
        valid_ms=0,
        relaxed=False,
        retry_after_ms=0,
    )
    allowance.apply(unknown, allowance.next_use(0), 0, 0)
    assert not allowance.record_failure(0.4)
    assert allowance.record_failure(0.6)


@in_virtual_time
async def test_target_whose_nested_retries_exceed_its_calls() -> None:
    """Guards against nested retries that no node can refuse: a target that
    runs retries of other calls only makes calls that are retries.
    """
    view = MeshView()
    accounts = {'cafe': account('cafe')}
    view.routes = RouteIndex(replaced(table(1), accounts=accounts))
    local = local_target('127.0.0.1:9')
    retries = CallRetries(mesh_settings(), view, local, random.Random(1))
    local.repeats = 1
    local.admission.capacity.start()
    progress = retries.new_progress(mesh_call(), SERVICE)
    assert retries.is_repeat(progress)
    progress.arrivals = 1
    for _ in range(50):
        retries.record_arrival(progress)
    with pytest.raises(PlacementFault) as fault:
        await local.run(call_open(repeat=True), progress.before_send)
    assert (fault.value.kind, fault.value.arrived) == ('busy', False)

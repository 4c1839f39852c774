"""Tests of limits that hold over all nodes, in virtual time.

The loads are those of docs/hard-load.md: limits of 5 to 274 calls a second over
62 nodes and 4 control instances, a hot account at 5 times its limit.
"""

import asyncio
import logging
import random

import pytest
from mustardspur_core.mesh.control_messages import (
    AllowanceGrant,
    AllowanceShare,
)
from mustardspur_node.mesh.allowance_requests import WAIT_S
from mustardspur_node.mesh.fallback_allowance import FallbackAllowance

from tests.support.allowance_world import World
from tests.support.virtual_time import in_virtual_time, virtual_now_s

NODES = 62
CONTROLS = 4
HOT = 5
TYPICAL = 0.62
MAX_MEAN_WAIT_S = 0.005
# The wait for a grant, with the time in which the loop runs.
MAX_WAIT_S = WAIT_S + 0.001


def _world(rate_per_s: float) -> World:
    return World(rate_per_s, NODES, CONTROLS)


@pytest.mark.parametrize('nodes', [3, NODES])
@pytest.mark.parametrize('rate_per_s', [60, 274])
@in_virtual_time
async def test_typical_use_is_admitted_without_waits(
    rate_per_s: float,
    nodes: int,
) -> None:
    """Guards against refusals and delays of accounts within their limit, also
    if all calls enter at three nodes.
    """
    world = _world(rate_per_s)
    async with world.running():
        await world.call(rate_per_s * TYPICAL, 30, world.nodes[:nodes])
    assert not world.refused_s
    assert world.mean_wait_s < MAX_MEAN_WAIT_S
    assert world.bytes / 30 / CONTROLS < 1000
    assert world.requests / 30 / NODES < 20


@pytest.mark.parametrize('rate_per_s', [30, 60, 240])
@in_virtual_time
async def test_sudden_use_at_one_instance_is_admitted(
    rate_per_s: float,
) -> None:
    """Guards against refusals of an account within its limit whose calls begin
    at nodes of one control instance.
    """
    world = World(rate_per_s, 3, 3)
    for node in world.nodes:
        node.attach(world.controls['control-0'])
    async with world.running():
        await world.call(rate_per_s * TYPICAL, 5)
    assert not world.refused_s


@pytest.mark.parametrize('rate_per_s', [60, 240])
@in_virtual_time
async def test_burst_at_one_instance_is_admitted(
    rate_per_s: float,
) -> None:
    """Guards against refusals of an account without earlier calls whose callers
    all begin at the same moment at nodes of one control instance.
    """
    world = World(rate_per_s, 3, 3)
    for node in world.nodes:
        node.attach(world.controls['control-0'])
    async with world.running():
        await world.call(2 * rate_per_s * TYPICAL, 0.5)
        await asyncio.sleep(0.5)
        await world.call(rate_per_s * TYPICAL, 2)
    assert not world.refused_s


@pytest.mark.parametrize('rate_per_s', [30, 60, 240])
@in_virtual_time
async def test_use_after_heat_elsewhere_is_admitted(rate_per_s: float) -> None:
    """Guards against refusals of an account within its limit at one control
    instance, while another one holds a share for calls of some seconds ago.
    """
    world = World(rate_per_s, 3, 3)
    async with world.running():
        await world.call(rate_per_s * HOT, 8, world.nodes[:1])
        await asyncio.sleep(1)
        since_s = virtual_now_s()
        await world.call(rate_per_s * TYPICAL, 5, world.nodes[1:2])
    assert max(world.refused_s) < since_s
    assert world.excess() <= 0


@pytest.mark.parametrize('nodes', [3, NODES])
@pytest.mark.parametrize('rate_per_s', [5, 20, 274])
@in_virtual_time
async def test_hot_account_gets_its_rate_and_no_more(
    rate_per_s: float,
    nodes: int,
) -> None:
    """Guards against calls beyond the limit, and against a limit that is not
    used if the calls enter at a few nodes.
    """
    world = _world(rate_per_s)
    async with world.running():
        await world.call(rate_per_s * HOT, 30, world.nodes[:nodes])
    assert world.excess() <= 0
    assert world.admitted_per_s(5) > 0.9 * rate_per_s
    assert max(world.waits_s) <= MAX_WAIT_S


@pytest.mark.parametrize('rate_per_s', [60, 274])
@in_virtual_time
async def test_idle_account_that_becomes_hot_everywhere(
    rate_per_s: float,
) -> None:
    """Guards against shares that add up to more than the limit when calls begin
    at all control instances at the same moment.
    """
    world = _world(rate_per_s)
    async with world.running():
        await asyncio.sleep(6)
        await world.call(rate_per_s * HOT, 8)
    assert world.excess() <= 0


@pytest.mark.parametrize('is_random', [False, True])
@in_virtual_time
async def test_half_of_the_nodes_cut_off(is_random: bool) -> None:
    """Guards against an idle account that uses the whole limit at nodes with
    control instances and a part of it at those without, once it is hot.
    """
    world = _world(274)
    nodes = world.nodes.copy()
    if is_random:
        random.Random(5).shuffle(nodes)
    async with world.running():
        await asyncio.sleep(6)
        for node in nodes[::2]:
            node.attach(None)
        await world.call(274 * HOT, 8)
    assert world.excess() <= 0


@pytest.mark.parametrize(
    ('rate_per_s', 'for_s'), [(5, 60), (20, 60), (274, 12)]
)
@in_virtual_time
async def test_all_nodes_cut_off(rate_per_s: float, for_s: float) -> None:
    """Guards against nodes that exceed the limit together, or serve nothing,
    when they lose all control instances under a hot account, and after 60 s
    without calls.

    Small limits are observed for 60 s: within 12 s, random arrivals alone
    change the rate of a limit of 5 a second by a fifth.
    """
    world = _world(rate_per_s)
    async with world.running():
        await world.call(rate_per_s * HOT, 8)
        for node in world.nodes:
            node.attach(None)
        cut_off_s = virtual_now_s()
        await world.call(rate_per_s * HOT, for_s)
        # Half of the limit, less what random arrivals at 62 nodes leave.
        assert world.admitted_per_s(cut_off_s) > 0.35 * rate_per_s
        await asyncio.sleep(60)
        await world.call(rate_per_s * HOT, 8)
    assert world.excess() <= 0


@pytest.mark.parametrize('rate_per_s', [5, 274])
@in_virtual_time
async def test_control_instance_lost_and_restarted(rate_per_s: float) -> None:
    """Guards against a second burst from the bucket of an instance that
    restarts, and against a share that stays lost with its instance.
    """
    world = _world(rate_per_s)
    lost = world.controls['control-0']
    moved = [node for node in world.nodes if node.control is lost]
    async with world.running():
        await world.call(rate_per_s * HOT, 8)
        lost.alive = False
        for node in moved:
            node.attach(world.controls['control-1'])
        await world.call(rate_per_s * HOT, 8)
        assert world.admitted_per_s(virtual_now_s() - 5) > 0.85 * rate_per_s
        restarted = world.restart('control-0')
        for returned in moved:
            returned.attach(restarted)
        await world.call(rate_per_s * HOT, 8)
    assert world.excess() <= 0


@pytest.mark.parametrize('rate_per_s', [5, 274])
@in_virtual_time
async def test_cut_in_halves(rate_per_s: float) -> None:
    """Guards against halves that each use the whole limit."""
    world = _world(rate_per_s)
    async with world.running():
        await world.call(rate_per_s * HOT, 8)
        world.cut = {'control-0', 'control-1'}
        await world.call(rate_per_s * HOT, 15)
        world.cut = set()
        await world.call(rate_per_s * HOT, 8)
    assert world.excess() <= 0
    assert world.admitted_per_s(2) > 0.85 * rate_per_s


@in_virtual_time
async def test_limit_lowered_to_a_third_during_a_herd() -> None:
    """Guards against tokens and buckets of the earlier limit that are used
    after the edit.
    """
    world = _world(274)
    async with world.running():
        await world.call(274 * HOT, 5)
        world.edit(274 / 3)
        edited_s = virtual_now_s()
        await world.call(274 * HOT, 10)
    assert world.excess(edited_s) <= 0
    assert world.admitted_per_s(edited_s) > 0.9 * 274 / 3


@in_virtual_time
async def test_hot_node_that_is_suspended() -> None:
    """Guards against old grants that are used after a suspension: the node
    decides alone meanwhile.
    """
    world = _world(274)
    suspended = world.nodes[0]
    async with world.running():
        await world.call(274 * HOT, 3, world.nodes[:3])
        suspended.suspended_s = 3.0
        await world.call(274 * HOT, 8, world.nodes[:3])
    assert world.excess() <= 0
    assert max(world.waits_s) <= MAX_WAIT_S


@in_virtual_time
async def test_tokens_of_a_late_grant_are_not_used() -> None:
    """Guards against tokens whose validity begins when a node that was
    suspended reads them.
    """
    world = World(5, 1, 1)
    node = world.nodes[0]
    node.suspended_s = 4.0
    await world.call_once(node)
    assert WAIT_S <= world.waits_s[0] <= MAX_WAIT_S
    await asyncio.sleep(5)
    loaded = AllowanceShare(
        limit='account/cafe',
        tokens=50,
        valid_ms=1000,
        relaxed=True,
        retry_after_ms=0,
    )
    node.allowances.apply(AllowanceGrant(grants=[loaded]))
    node.attach(None)
    await asyncio.gather(*(world.call_once(node) for _ in range(60)))
    # The fallback of a single node has half of the burst and 10 calls.
    assert len(world.admitted_s) <= 13


@in_virtual_time
async def test_refusal_is_immediate_and_tells_when_to_retry(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against callers that wait for a refusal or are told a time at
    which they are refused again, and against refusals without a line.
    """
    caplog.set_level(logging.INFO)
    world = World(5, 1, 1)
    node = world.nodes[0]
    async with world.running():
        while not world.refused_s:
            await world.call_once(node)
        await world.call_once(node)
        assert not world.waits_s[-1]
        line = caplog.records[-1].__dict__
        assert line['account'] == 'cafe'
        assert line['decided_by'] == 'control instance'
        assert 0 < line['retry_after_ms'] <= 250
        await asyncio.sleep(line['retry_after_ms'] / 1000)
        admitted = len(world.admitted_s)
        await world.call_once(node)
    assert len(world.admitted_s) == admitted + 1


def test_nodes_hold_the_burst_together_after_any_time() -> None:
    """Guards against a token at each of 2,800 nodes of a limit of 5 a second
    that has not been used for an hour.
    """
    generator = random.Random(3)
    nodes = [FallbackAllowance(generator) for _ in range(2800)]
    held = [
        node.try_take(2.5 / 2800, 12.5 / 2800, now_s=at_s) == 0
        for node in nodes
        for at_s in (3600, 3600, 3600.5)
    ]
    assert 2 <= sum(held) <= 28

"""Tests of the policies that select targets, on a table in virtual time."""

import asyncio
import random
from collections import Counter
from itertools import pairwise

import pytest
from mustardspur_core.mesh.control_messages import MeshTargets
from mustardspur_core.record import replaced
from mustardspur_node.mesh.call_progress import CallProgress
from mustardspur_node.mesh.calls import not_sent_fault
from mustardspur_node.mesh.view import RouteIndex

from tests.core.mesh.builders import route, target
from tests.core.mesh.builders import table as routing_table
from tests.node.mesh.builders import mesh_call
from tests.node.mesh.target_table import (
    LOOKUP,
    WORK_MS,
    TableNode,
    TargetTable,
    spread_table,
)
from tests.support.virtual_time import in_virtual_time, ticks, virtual_now_s

ALL_PLACES = ('a1', 'a2', 'b1', 'b2')
SMALL_SHARE = 0.1
HALF = 0.5


async def _occupy(table: TargetTable, calls: int) -> None:
    """Start calls at random targets that end within 600 ms."""
    free = [each for each in table.targets() for _ in range(5)]
    for each in free:
        run_ms = WORK_MS / each.speed
        each.admission.run_times.record(run_ms, failed=False, route='lookup')
    for each in table.source.sample(free, calls):
        length_s = table.source.uniform(0, 0.6)
        asyncio.get_running_loop().create_task(each.hold_slot(length_s))
    await asyncio.sleep(0)


@in_virtual_time
async def test_simultaneous_choices_overrun_no_target() -> None:
    """Guards against many nodes that choose the same targets by old reports.

    The load: 180 of 200 slots are in use when all 80 nodes receive reports of
    all targets; 300 ms later half of the runs have ended, and each node places
    a call, all within 50 ms.
    """
    table = spread_table('first_free', ALL_PLACES)
    await _occupy(table, 180)
    for node in table.nodes:
        for each in table.targets():
            node.record_report(each)
    await asyncio.sleep(0.3)
    tasks: list[asyncio.Task[str]] = []
    async for number in ticks(80, 0.05 / 80):
        tasks.append(asyncio.create_task(table.nodes[number].call(WORK_MS)))
        if table.idle >= table.slots / 10:
            assert table.waiting == 0
    await asyncio.sleep(0.01)
    assert table.idle >= table.slots / 10
    assert table.waiting == 0
    assert set(await asyncio.gather(*tasks)) == {'in time'}
    assert max(each.most_running for each in table.targets()) == 5


@in_virtual_time
async def test_targets_are_used_in_proportion_to_their_speed() -> None:
    """Guards against slow targets that are overrun while fast ones are idle.

    The load: 20 targets of one data centre with speeds of 0.5 to 1.5, of
    which 80 nodes use 60 in 100.
    """
    table = spread_table('first_free', ('a1',), 20)
    for position, each in enumerate(table.targets()):
        each.speed = (0.5, 0.75, 1.0, 1.25, 1.5)[position % 5]
    # In the first seconds the nodes learn the speeds.
    await table.offer_load(table.nodes, 0.6 * table.capacity_per_s, 4)
    runs: Counter[float] = Counter()
    for each in table.targets():
        runs[each.speed] -= each.runs
    await table.offer_load(table.nodes, 0.6 * table.capacity_per_s, 30)
    for each in table.targets():
        runs[each.speed] += each.runs
    mean = runs.total() / sum(runs)
    for speed, count in runs.items():
        assert count / speed == pytest.approx(mean, rel=0.1)


async def _spilled(
    table: TargetTable, per_s: float, quarters: int
) -> list[float]:
    """Return the part of the answers from other places, for each 250 ms."""
    nodes = [node for node in table.nodes if node.place == 'a1']
    load = table.offer_load(nodes, per_s, quarters / 4)
    asyncio.get_running_loop().create_task(load)
    counts = [table.runs_at.copy()]
    async for _ in ticks(quarters, 0.25):
        counts.append(table.runs_at.copy())
    runs = [after - before for before, after in pairwise(counts)][1:]
    return [each[1] / max(each.total(), 1) for each in runs]


@in_virtual_time
async def test_peak_spills_to_the_region_and_returns() -> None:
    """Guards against calls that are refused or late while the other data
    centre has free slots, and against load that moves to and fro.

    The load: callers of one of two data centres demand 0.5, then for 4 s 1.4
    and then 0.5 of its capacity; the other one has no callers of its own.
    """
    table = spread_table('first_free', ('a1', 'a2'))
    per_s = table.capacity_per_s / 2
    assert max(await _spilled(table, per_s * 0.5, 8)) < SMALL_SHARE
    peak = await _spilled(table, per_s * 1.4, 16)
    # A second after the start of the peak the share is stable.
    assert min(peak[4:]) > SMALL_SHARE
    assert max(peak) < HALF
    after = await _spilled(table, per_s * 0.5, 12)
    assert max(after[4:]) < SMALL_SHARE
    assert table.outcomes['refused'] == 0
    # Runs that are long by chance are late wherever they run.
    assert table.outcomes['late'] < len(table.call_ms) / 25


async def _join(seed: int) -> tuple[int, int]:
    """Return the refusals in the second after a target joins, and its runs in
    the three seconds after that.
    """
    table = spread_table('first_free', ('a1',), 12)
    table.source = random.Random(seed)
    load = asyncio.create_task(
        table.offer_load(table.nodes, 0.6 * table.capacity_per_s, 6)
    )
    await asyncio.sleep(2)
    joining = table.add_target(target('999', data_centre='a1', slots=5), 1)
    refused = table.outcomes['refusals at 0']
    await asyncio.sleep(1)
    refused = table.outcomes['refusals at 0'] - refused
    before = joining.runs
    await asyncio.sleep(3)
    runs = joining.runs - before
    await load
    assert joining.most_running <= 5
    return refused, runs


@in_virtual_time
async def test_joining_target_gets_its_share_without_a_herd() -> None:
    """Guards against a new target that all nodes call at once, and against one
    that stays unused because nodes know nothing of it.

    The load: 80 nodes use 60 in 100 of the capacity of 12 targets when one
    more joins. Means over six seeds, as the refusals of one vary from 5 to 65.
    """
    joined = await asyncio.gather(*map(_join, range(9, 15)))
    refusals, runs = (sum(counts) / 6 for counts in zip(*joined, strict=True))
    assert refusals < 40
    share_s = 0.6 * 5 * 1000 / WORK_MS / 1.18
    assert runs == pytest.approx(3 * share_s, rel=0.2)


@pytest.mark.parametrize(
    ('far_is_free', 'outcome'), [(True, 'in time'), (False, 'refused')]
)
@in_virtual_time
async def test_call_is_refused_only_without_capacity(
    *, far_is_free: bool, outcome: str
) -> None:
    """Guards against calls that are refused while another region has free
    slots, and against calls that wait where none can answer in time.

    The load: all slots of 20 targets in the own region, and in one case those
    of the other region, are in use for seconds, and as many calls wait.
    """
    table = spread_table('first_free', ALL_PLACES)
    full = table.targets()
    if far_is_free:
        full = [each for each in full if each.listed.region == 'a']
    for each in full:
        for _ in range(5 * 6):
            asyncio.get_running_loop().create_task(each.run(3000, 5000))
    node = TableNode(table, 'a1', 1)
    for each in table.targets():
        each.admission.run_times.record(WORK_MS, failed=False)
    await asyncio.sleep(0.3)
    for each in table.targets():
        node.record_report(each)
    began_s = virtual_now_s()
    assert await node.call(WORK_MS) == outcome
    assert virtual_now_s() - began_s < HALF


@in_virtual_time
async def test_failing_target_gets_fewer_offers() -> None:
    """Guards against a target that fails its calls early, and is therefore
    idle, getting more of them than the others.
    """
    table = spread_table('first_free', ('a1',), 20)
    failing, *others = table.targets()
    for each in table.targets():
        run_ms = WORK_MS / 20 if each is failing else WORK_MS
        for _ in range(100):
            each.admission.run_times.record(run_ms, failed=each is failing)
        table.nodes[0].record_report(each)
    progress = CallProgress(mesh_call(), 'forms')
    offers: Counter[str] = Counter()
    for _ in range(2000):
        offer = table.nodes[0].policy.next_offer(progress, table.listed)
        assert offer is not None
        offers[offer.target.node] += 1
    mean = sum(offers[other.listed.node] for other in others) / len(others)
    assert offers[failing.listed.node] < mean / 2


@pytest.mark.parametrize(('count', 'is_first'), [(11, False), (12, True)])
@in_virtual_time
async def test_auto_depends_on_the_size_of_the_service(
    count: int, *, is_first: bool
) -> None:
    """Guards against first offers in small services, whose reports are new."""
    table = spread_table('auto', ('a1',), count)
    table.nodes[0].view.apply_targets(
        MeshTargets(full=True, upserts=table.listed, removed=[])
    )
    progress = CallProgress(mesh_call(), 'forms')
    offer = table.nodes[0].policy.next_offer(progress, table.listed[:2])
    assert offer is not None
    assert offer.is_first is is_first


@in_virtual_time
async def test_large_body_is_not_offered_without_a_wait() -> None:
    """Guards against large bodies that are sent again after each refusal."""
    table = spread_table('first_free', ('a1',))
    progress = CallProgress(mesh_call(body=bytes(20_000)), 'forms')
    offer = table.nodes[0].policy.next_offer(progress, table.listed)
    assert offer is not None
    assert offer.max_wait_ms == progress.max_wait_ms()


@in_virtual_time
async def test_overload_is_refused_after_few_offers() -> None:
    """Guards against nodes that use up their processors with offers to full
    targets, and against calls that are held at one target after the other.

    The load: 1.5 times the capacity of all regions.
    """
    table = spread_table('first_free', ALL_PLACES)
    load = asyncio.create_task(
        table.offer_load(table.nodes, 1.5 * table.capacity_per_s, 2.5)
    )
    await asyncio.sleep(1)
    table.outcomes.clear()
    table.held_ms.clear()
    async for _ in ticks(15, 0.1):
        assert table.idle < table.slots * SMALL_SHARE
    await load
    calls = len(table.held_ms) + sum(
        table.outcomes[outcome] for outcome in ('in time', 'late')
    )
    assert table.outcomes['offers'] < 2 * calls
    assert table.outcomes['offers at 2'] < calls * SMALL_SHARE * 2
    # One useful wait and the ways to two other targets.
    assert max(table.held_ms) < 697 / 3 + 60
    assert table.outcomes['in time'] > 0.6 * calls


def _served(table: TargetTable, name: str) -> float:
    """Return the part of the calls of a route that are in time."""
    in_time = table.outcomes[f'{name} in time']
    return in_time / (in_time + table.outcomes[f'{name} refused'])


@pytest.mark.parametrize(
    ('urgent', 'other'), [('home', 'free'), ('free', 'home')]
)
@in_virtual_time
async def test_urgent_calls_are_served_better(urgent: str, other: str) -> None:
    """Guards against an overload that is refused by who may go where instead
    of by value.

    The load: 1.5 times the capacity of all regions, of which 0.4 may run in
    one region only.
    """
    table = spread_table('first_free', ALL_PLACES)
    routes = {
        urgent: replaced(LOOKUP, name=urgent, priority=1),
        other: replaced(LOOKUP, name=other, priority=2),
    }
    routes['home'] = replaced(routes['home'], home_regions=['a'])
    for each in table.nodes:
        each.view.routes = RouteIndex(routing_table(1, *routes.values()))
    near = [node for node in table.nodes if node.place < 'b']
    per_s = table.capacity_per_s
    await asyncio.gather(
        table.offer_load(near, 0.4 * per_s, 2, routes['home']),
        table.offer_load(table.nodes, 1.1 * per_s, 2, routes['free']),
    )
    assert _served(table, urgent) > 1 - 2 * SMALL_SHARE
    assert _served(table, other) < _served(table, urgent) - SMALL_SHARE


@in_virtual_time
async def test_callers_far_from_home_reach_free_targets() -> None:
    """Guards against calls that are refused since all targets that may run
    them are in another region.

    The load: callers of one region use 0.8 of the targets of the other one.
    """
    table = spread_table('first_free', ALL_PLACES)
    at_home = route('home', objective_ms=697.0, home_regions=['b'])
    nodes = [node for node in table.nodes if node.place in {'a1', 'a2'}]
    await table.offer_load(nodes, 0.4 * table.capacity_per_s, 3, at_home)
    calls = table.outcomes['home in b'] + table.outcomes['refused']
    assert table.outcomes['refused'] < calls / 100
    assert table.outcomes['offers'] < 2 * calls


@pytest.mark.parametrize('count', [11, 12])
@in_virtual_time
async def test_wait_is_spent_once(count: int) -> None:
    """Guards against calls that are held at several targets in a row."""
    table = spread_table('auto', ('a1',), count)
    progress = CallProgress(mesh_call(), 'forms')
    waits: list[float] = []
    while offer := table.nodes[0].policy.next_offer(progress, table.listed):
        progress.record_placement(offer.target.node, is_first=offer.is_first)
        if offer.is_first:
            progress.first_offers.refused.append(offer.target)
        else:
            waits.append(offer.max_wait_ms)
            await asyncio.sleep(0.06)
        progress.record_fault(not_sent_fault('busy', 'no slot in time'))
    assert waits == pytest.approx([100, 40])

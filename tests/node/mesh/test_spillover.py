"""Tests of the spillover to other regions, on a table in virtual time."""

import asyncio
from collections import Counter
from typing import Any

import pytest
from mustardspur_node.mesh.balancing.spillover import (
    MAX_FRACTION,
    RegionShortage,
)
from mustardspur_node.mesh.call_progress import CallProgress
from mustardspur_node.mesh.view import RouteIndex

from tests.core.mesh.builders import route
from tests.core.mesh.builders import table as routing_table
from tests.node.mesh.builders import mesh_call
from tests.node.mesh.target_table import (
    PLACES,
    TargetTable,
    spread_table,
)
from tests.support.virtual_time import in_virtual_time, ticks

AT_HOME = route('restricted', objective_ms=697.0, home_regions=['a'])
ANYWHERE = route('free', objective_ms=697.0)
MOST = 0.6
FEW = 0.3


class _TwoRegions:
    """Load on two regions, to one of which a route is restricted."""

    def __init__(self, policy: str = 'first_free', count: int = 40) -> None:
        """Initialise without load."""
        self.table: TargetTable = spread_table(policy, tuple(PLACES), count)
        routes = RouteIndex(routing_table(1, AT_HOME, ANYWHERE))
        for node in self.table.nodes:
            node.view.routes = routes
        self.at_home = [
            each for each in self.table.listed if each.region == 'a'
        ]

    def start(self, length_s: float) -> 'asyncio.Future[Any]':
        """Load region a by 0.85 with the restricted route for two thirds of
        the time, then by 0.45, and by 0.2 with the other one; load region b
        by 0.25.
        """
        near = [node for node in self.table.nodes if node.place < 'b']
        far = [node for node in self.table.nodes if node.place > 'b']
        per_s = self.table.capacity_per_s / 2
        load = self.table.offer_load
        return asyncio.gather(
            load(near, 0.45 * per_s, length_s, AT_HOME),
            load(near, 0.4 * per_s, length_s * 0.6, AT_HOME),
            load(near, 0.2 * per_s, length_s, ANYWHERE),
            load(far, 0.25 * per_s, length_s, ANYWHERE),
        )

    async def spilled(self, halves: int) -> tuple[Counter[str], list[float]]:
        """Return the outcomes over some half seconds, and for each of them
        the part of region a's unrestricted calls that region b answers.
        """
        began = self.table.outcomes.copy()
        calls = 0.2 * self.table.capacity_per_s / 2 / 2
        answered = [self.table.runs_at[2]]
        async for _ in ticks(halves, 0.5):
            answered.append(self.table.runs_at[2])
        answered.append(self.table.runs_at[2])
        parts = [
            (after - before) / calls
            for before, after in zip(answered[1:], answered[2:], strict=False)
        ]
        return self.table.outcomes - began, parts


@in_virtual_time
async def test_calls_leave_a_short_region_and_return() -> None:
    """Guards against calls that may run in one region only and are refused
    for others that may run elsewhere, and against load that moves to and fro.

    The load: see `_TwoRegions`; a tenth of the targets is lost for 3 s.
    """
    regions = _TwoRegions()
    load = regions.start(15)
    await regions.spilled(6)
    lost = regions.at_home[::10]
    for each in lost:
        regions.table.listed.remove(each)
    short, parts = await regions.spilled(6)
    assert short['restricted refused'] < short['restricted in time'] / 100
    assert short['free refused'] < short['free in time'] / 100
    assert short['offers'] < 3 * (short['free in b'] + short['restricted in a'])
    assert min(parts[2:]) > MOST
    regions.table.listed.extend(lost)
    back, parts = await regions.spilled(6)
    assert back['restricted refused'] < back['restricted in time'] / 100
    assert min(parts[2:]) > MOST
    _, parts = await regions.spilled(12)
    assert sum(parts[9:]) / 3 < FEW
    await load


@pytest.mark.parametrize('count', [8, 40])
@in_virtual_time
async def test_small_services_spill_too(count: int) -> None:
    """Guards against a shortage that only services with many targets avoid.

    The load: all targets of region a are full whenever the node asks.
    """
    regions = _TwoRegions('auto', count)
    node = regions.table.nodes[0]
    for each in regions.table.targets():
        if each.listed.region == 'a':
            for _ in range(5):
                asyncio.get_running_loop().create_task(each.hold_slot(9))
    await asyncio.sleep(0)
    spilled = 0
    async for _ in ticks(30, 0.1):
        for each in regions.table.targets():
            node.record_report(each)
        progress = CallProgress(mesh_call(route=ANYWHERE), 'forms')
        offer = node.policy.next_offer(progress, regions.table.listed)
        if offer is not None and offer.is_spilled:
            assert offer.target.region == 'b'
            spilled += 1
    assert 10 < spilled < 25


@in_virtual_time
async def test_calls_stay_without_homes() -> None:
    """Guards against paid traffic in deployments without home regions."""
    regions = _TwoRegions('auto')
    routes = RouteIndex(routing_table(1, ANYWHERE))
    for each in regions.table.nodes:
        each.view.routes = routes
    near = [node for node in regions.table.nodes if node.place < 'b']
    await regions.table.offer_load(
        near, 0.475 * regions.table.capacity_per_s, 2, ANYWHERE
    )
    assert regions.table.runs_at[2] < regions.table.runs_at.total() / 100


@pytest.mark.parametrize(
    ('utilisation', 'least', 'most'),
    [(0.95, 0.6, 0.8), (1.2, MAX_FRACTION, MAX_FRACTION), (0.84, 0.5, 0.5)]
    + [(0.7, 0.3, 0.45), (0, 0, 0), (None, 0.39, 0.45)],
)
def test_fraction_follows_the_utilisation(
    utilisation: float | None, least: float, most: float
) -> None:
    """Guards against a fraction that jumps, that swings at a constant load, or
    that stays without reports.
    """
    shortage = RegionShortage(0)
    shortage.fraction = 0.5
    for step in range(1, 11):
        shortage.update(utilisation, step / 10)
    assert least <= shortage.fraction <= most

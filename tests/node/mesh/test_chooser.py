"""Tests of the selection of a target."""

import asyncio
import random
from collections import Counter

from mustardspur_core.mesh import MeshTarget
from mustardspur_core.mesh.call_messages import TargetLoad
from mustardspur_core.record import replaced
from mustardspur_node.mesh.chooser import AVOID_CLOSED_S, TargetChooser
from mustardspur_node.mesh.distances import (
    LOAD_MAX_AGE_S,
    OTHER_REGION_LOAD_MAX_AGE_S,
)

from tests.core.mesh.builders import target
from tests.node.mesh.builders import node_settings
from tests.support.virtual_time import in_virtual_time


def _load(running: int, waiting: int = 0, run_ms: float = 50.0) -> TargetLoad:
    return TargetLoad(
        running=running,
        waiting=waiting,
        slots=4,
        run_ms=run_ms,
        failure_rate=0,
        open=True,
        link_wait_ms=0,
    )


def _chooser(*loads: TargetLoad) -> tuple[TargetChooser, list[MeshTarget]]:
    """Return a chooser with load reports of the targets 0, 1, ..."""
    chooser = TargetChooser(node_settings(), random.Random(3))
    targets = [target(str(number)) for number in range(len(loads))]
    for listed, load in zip(targets, loads, strict=True):
        chooser.record_load(listed.node, load)
    return chooser, targets


@in_virtual_time
async def test_free_target_is_preferred() -> None:
    """Guards against calls that wait while another target has free slots."""
    chooser, targets = _chooser(_load(4, 3), _load(0), _load(4))
    chosen = chooser.choose(targets, 300.0, 200.0)
    assert chosen is not None
    assert chosen.id == '1'


@in_virtual_time
async def test_calls_in_flight_count() -> None:
    """Guards against a burst that goes to one target between two reports."""
    chooser, targets = _chooser(_load(0), _load(0), _load(0))
    counts: Counter[str] = Counter()
    while counts.total() < 12:
        chosen = chooser.choose(targets, 300.0, 200.0)
        assert chosen is not None
        chooser.record_sent(chosen.node)
        counts[chosen.id] += 1
    assert max(counts.values()) <= 5


@in_virtual_time
async def test_other_region_is_chosen_for_a_long_wait_only() -> None:
    """Guards against paid traffic between regions that saves little time."""
    chooser, targets = _chooser(_load(4, 2), _load(0))
    targets[1].region = 'slavonija'
    targets[1].data_centre = 'osijek-a'
    near = chooser.choose(targets, 300.0, 200.0)
    assert near is not None
    assert near.id == '0'
    chooser.record_load(targets[0].node, _load(4, 20))
    far = chooser.choose(targets, 300.0, 200.0)
    assert far is not None
    assert far.id == '1'


@in_virtual_time
async def test_full_targets_are_excluded() -> None:
    """Guards against calls that wait although they would be late."""
    chooser, targets = _chooser(_load(4, 30), _load(4, 30))
    assert chooser.choose(targets, 300.0, 200.0) is None
    assert chooser.choose(targets, 1000.0, 900.0) is not None


@in_virtual_time
async def test_old_report_is_not_used() -> None:
    """Guards against targets that are avoided after they have free slots."""
    chooser, targets = _chooser(_load(4, 30))
    await asyncio.sleep(LOAD_MAX_AGE_S + 0.01)
    assert chooser.choose(targets, 300.0, 200.0) is not None


@in_virtual_time
async def test_unreachable_node_is_avoided() -> None:
    """Guards against calls to a node that cannot be reached."""
    chooser, targets = _chooser(_load(0), _load(4, 4))
    chooser.mark_unreachable(targets[0].node)
    chosen = chooser.choose(targets, 1000.0, 900.0)
    assert chosen is not None
    assert chosen.id == '1'


@in_virtual_time
async def test_long_queue_is_not_joined() -> None:
    """Guards against calls that wait longer than is useful."""
    chooser, targets = _chooser(_load(4, 10))
    assert chooser.choose(targets, 300.0, 200.0) is not None
    assert chooser.choose(targets, 300.0, 100.0) is None


@in_virtual_time
async def test_load_report_of_other_region_is_used_longer() -> None:
    """Guards against calls that cross regions only to be refused."""
    chooser, targets = _chooser(_load(4, 30))
    targets[0].region = 'slavonija'
    await asyncio.sleep(LOAD_MAX_AGE_S + 0.01)
    assert chooser.choose(targets, 300.0, 200.0) is None
    await asyncio.sleep(OTHER_REGION_LOAD_MAX_AGE_S)
    assert chooser.choose(targets, 300.0, 200.0) is not None


@in_virtual_time
async def test_closed_target_is_tried_again() -> None:
    """Guards against a target that was closed just after its restart and gets
    no calls of this node any more, since no call brings a newer report.
    """
    chooser, targets = _chooser(_load(0), _load(0))
    closed = replaced(_load(0), open=False)
    chooser.record_load(targets[0].node, closed)
    chosen = chooser.choose(targets, 300.0, 200.0)
    assert chosen is targets[1]
    await asyncio.sleep(2 * AVOID_CLOSED_S)
    chooser.record_load(targets[1].node, _load(4, 2))
    assert chooser.choose(targets, 300.0, 200.0) is targets[0]


def _spread_targets() -> list[MeshTarget]:
    """Return 120 targets in two data centres of each of two regions."""
    places = (
        ('split-a', 'dalmacija'),
        ('zadar-a', 'dalmacija'),
        ('osijek-a', 'slavonija'),
        ('vukovar-a', 'slavonija'),
    )
    return [
        target(
            f'{place}{number}',
            data_centre=places[place][0],
            region=places[place][1],
        )
        for place in range(len(places))
        for number in range(10, 40)
    ]


def _chosen(
    chooser: TargetChooser,
    targets: list[MeshTarget],
    run_ms: dict[str, float],
    count: int,
) -> list[MeshTarget]:
    """Return the targets of calls that run one after the other."""
    chosen: list[MeshTarget] = []
    while len(chosen) < count:
        picked = chooser.choose(targets, 800.0, 260.0)
        assert picked is not None
        chooser.record_load(picked.node, _load(0, run_ms=run_ms[picked.id]))
        chosen.append(picked)
    return chosen


@in_virtual_time
async def test_calls_of_many_targets_stay_near_and_fast() -> None:
    """Guards against calls that leave their data centre although it has free
    targets, and that go to slow targets because unknown ones look faster.

    The load: one call at a time of a node that knows no target at first, at
    120 targets of which a third runs calls in 180 ms, the others in 420 ms.
    Of targets taken at random a third are fast and a quarter are near.
    """
    chooser = TargetChooser(node_settings(), random.Random(5))
    targets = _spread_targets()
    run_ms = {
        each.id: 180.0 if position % 3 == 0 else 420.0
        for position, each in enumerate(targets)
    }
    # The first calls teach the node the run times.
    settled = _chosen(chooser, targets, run_ms, 120)[40:]
    places = Counter(each.data_centre for each in settled)
    fast = [each for each in settled if run_ms[each.id] < 200]
    assert places['split-a'] > places.total() / 2
    assert places['osijek-a'] + places['vukovar-a'] == 0
    assert len(fast) > 0.8 * len(settled)

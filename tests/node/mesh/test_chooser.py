"""Tests of the choice of a target."""

import asyncio
import random
from collections import Counter

from mustardspur_core.mesh import MeshTarget
from mustardspur_core.mesh.call_messages import TargetLoad
from mustardspur_node.mesh.chooser import TargetChooser
from mustardspur_node.mesh.distances import FRESH_OTHER_REGION_S, FRESH_S

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
    )


def _chooser(*loads: TargetLoad) -> tuple[TargetChooser, list[MeshTarget]]:
    """Return a chooser that knows the load of targets 0, 1, ..."""
    chooser = TargetChooser(node_settings(), random.Random(3))
    rows = [target(str(number)) for number in range(len(loads))]
    for row, load in zip(rows, loads, strict=True):
        chooser.note_load(row.node, load)
    return chooser, rows


@in_virtual_time
async def test_free_target_is_preferred() -> None:
    """Guards against calls that wait beside free slots."""
    chooser, rows = _chooser(_load(4, 3), _load(0), _load(4))
    chosen = chooser.choose(rows, 300.0, 200.0)
    assert chosen is not None
    assert chosen.id == '1'


@in_virtual_time
async def test_calls_on_their_way_count() -> None:
    """Guards against a burst that all goes to the target that was free."""
    chooser, rows = _chooser(_load(0), _load(0), _load(0))
    counts: Counter[str] = Counter()
    while counts.total() < 12:
        chosen = chooser.choose(rows, 300.0, 200.0)
        assert chosen is not None
        chooser.note_sent(chosen.node)
        counts[chosen.id] += 1
    assert max(counts.values()) <= 5


@in_virtual_time
async def test_region_is_left_for_a_long_wait_only() -> None:
    """Guards against bytes between regions that buy little time."""
    chooser, rows = _chooser(_load(4, 2), _load(0))
    rows[1].region = 'slavonija'
    rows[1].data_centre = 'osijek-a'
    near = chooser.choose(rows, 300.0, 200.0)
    assert near is not None
    assert near.id == '0'
    chooser.note_load(rows[0].node, _load(4, 20))
    far = chooser.choose(rows, 300.0, 200.0)
    assert far is not None
    assert far.id == '1'


@in_virtual_time
async def test_full_targets_are_not_asked() -> None:
    """Guards against calls that are held although they would be late."""
    chooser, rows = _chooser(_load(4, 30), _load(4, 30))
    assert chooser.choose(rows, 300.0, 200.0) is None
    assert chooser.choose(rows, 1000.0, 900.0) is not None


@in_virtual_time
async def test_old_report_is_not_relied_on() -> None:
    """Guards against targets that stay avoided after they are free."""
    chooser, rows = _chooser(_load(4, 30))
    await asyncio.sleep(FRESH_S + 0.01)
    assert chooser.choose(rows, 300.0, 200.0) is not None


@in_virtual_time
async def test_unreachable_node_is_avoided() -> None:
    """Guards against calls to a node that does not answer."""
    chooser, rows = _chooser(_load(0), _load(4, 4))
    chooser.note_unreachable(rows[0].node)
    chosen = chooser.choose(rows, 1000.0, 900.0)
    assert chosen is not None
    assert chosen.id == '1'


@in_virtual_time
async def test_long_queue_is_not_joined() -> None:
    """Guards against calls that wait until they can only end late."""
    chooser, rows = _chooser(_load(4, 10))
    assert chooser.choose(rows, 300.0, 200.0) is not None
    assert chooser.choose(rows, 300.0, 100.0) is None


@in_virtual_time
async def test_full_region_is_not_asked_again_soon() -> None:
    """Guards against calls that cross regions to be refused there."""
    chooser, rows = _chooser(_load(4, 30))
    rows[0].region = 'slavonija'
    await asyncio.sleep(FRESH_S + 0.01)
    assert chooser.choose(rows, 300.0, 200.0) is None
    await asyncio.sleep(FRESH_OTHER_REGION_S)
    assert chooser.choose(rows, 300.0, 200.0) is not None

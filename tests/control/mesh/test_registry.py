"""Tests of the nodes that a control instance knows."""

import asyncio

from mustardspur_control.mesh.changes import PendingRows
from mustardspur_control.mesh.registry import (
    OWN,
    SOURCE_LINGER_S,
    MeshRegistry,
)
from mustardspur_core.mesh.control_messages import MeshTargets

from tests.core.mesh.builders import target
from tests.support.virtual_time import in_virtual_time


def test_newest_row_holds() -> None:
    """Guards against the row of a node's former control instance."""
    registry = MeshRegistry()
    registry.put(OWN, target('1', sequence=5, state='draining'))
    registry.put('c2', target('1', sequence=4))
    assert registry.by_node['127.0.0.1:1'].state == 'draining'
    registry.put('c2', target('1', incarnation=2))
    assert registry.by_node['127.0.0.1:1'].state == 'ready'


def test_node_that_changed_its_instance_stays() -> None:
    """Guards against a node that is forgotten while it moves over."""
    registry = MeshRegistry()
    registry.put(OWN, target('1'))
    registry.put('c2', target('1', sequence=2))
    registry.remove(OWN, '127.0.0.1:1')
    assert '127.0.0.1:1' in registry.by_node
    registry.remove('c2', '127.0.0.1:1')
    assert not registry.by_node


def test_full_update_drops_what_it_lacks() -> None:
    """Guards against a node that a reconnected instance no longer has."""
    registry = MeshRegistry()
    registry.take(
        'c2',
        MeshTargets(full=True, upserts=[target('1'), target('2')], removed=[]),
    )
    registry.take(
        'c2',
        MeshTargets(full=True, upserts=[target('2')], removed=[]),
    )
    assert list(registry.by_node) == ['127.0.0.1:2']


@in_virtual_time
async def test_rows_of_a_lost_instance_linger() -> None:
    """Guards against targets that vanish with their control instance."""
    registry = MeshRegistry()
    registry.put('c2', target('1'))
    registry.drop_later('c2', bool)
    await asyncio.sleep(SOURCE_LINGER_S - 0.1)
    assert '127.0.0.1:1' in registry.by_node
    await asyncio.sleep(0.2)
    assert not registry.by_node


def test_slow_reader_gets_the_newest_row_once() -> None:
    """Guards against a backlog of every state that a row went through."""
    pending = PendingRows(asyncio.Event())
    rows = {'127.0.0.1:1': target('1')}
    first = pending.take(rows)
    assert first is not None
    assert first.full
    pending.note('127.0.0.1:1')
    pending.note('127.0.0.1:1')
    pending.note('127.0.0.1:9')
    update = pending.take(rows)
    assert update is not None
    assert [row.id for row in update.upserts] == ['1']
    assert update.removed == ['127.0.0.1:9']
    assert pending.take(rows) is None

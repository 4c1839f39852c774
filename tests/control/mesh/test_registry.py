"""Tests of the registry of nodes and of pending updates."""

import asyncio
from typing import Final

import pytest
from mustardspur_control.mesh.allowance_shares import MAX_LIMITS, PeerDemand
from mustardspur_control.mesh.pending_updates import PendingUpdates
from mustardspur_control.mesh.registry import (
    LOCAL_SOURCE,
    MAX_REPORTED,
    REMOVAL_DELAY_S,
    MeshRegistry,
    check_speaker,
)
from mustardspur_core.mesh.allowance_checks import check_demand
from mustardspur_core.mesh.control_messages import (
    AllowanceDemand,
    LimitDemand,
    MeshAnnounce,
    MeshCrash,
    MeshEvidence,
    MeshTargets,
)
from mustardspur_core.record import Record, replaced
from mustardspur_core.wire import MalformedFrame

from tests.core.mesh.builders import target
from tests.support.virtual_time import in_virtual_time

_NODE: Final = '10.0.0.1:7000'


def test_newest_registration_is_used() -> None:
    """An outdated registration from the former instance is ignored."""
    registry = MeshRegistry()
    registry.put(LOCAL_SOURCE, target('1', sequence=5, state='draining'))
    registry.put('c2', target('1', sequence=4))
    assert registry.by_node['127.0.0.1:1'].state == 'draining'
    registry.put('c2', target('1', incarnation=2))
    assert registry.by_node['127.0.0.1:1'].state == 'ready'


def test_node_that_changed_its_instance_stays() -> None:
    """A node is not removed while it attaches to another instance."""
    registry = MeshRegistry()
    registry.put(LOCAL_SOURCE, target('1'))
    registry.put('c2', target('1', sequence=2))
    registry.remove(LOCAL_SOURCE, '127.0.0.1:1')
    assert '127.0.0.1:1' in registry.by_node
    registry.remove('c2', '127.0.0.1:1')
    assert not registry.by_node


def test_full_update_removes_missing_nodes() -> None:
    """Nodes that a reconnected instance no longer reports are removed."""
    registry = MeshRegistry()
    registry.apply_update(
        'c2',
        MeshTargets(full=True, upserts=[target('1'), target('2')], removed=[]),
    )
    registry.apply_update(
        'c2',
        MeshTargets(full=True, upserts=[target('2')], removed=[]),
    )
    assert list(registry.by_node) == ['127.0.0.1:2']


@in_virtual_time
async def test_registrations_of_lost_instance_removed_later() -> None:
    """Targets do not disappear at once with their control instance."""
    registry = MeshRegistry()
    registry.put('c2', target('1'))
    registry.schedule_removal('c2', bool)
    await asyncio.sleep(REMOVAL_DELAY_S - 0.1)
    assert '127.0.0.1:1' in registry.by_node
    await asyncio.sleep(0.2)
    assert not registry.by_node


def test_slow_receiver_gets_newest_registration_once() -> None:
    """Several changes of a node before an update result in one entry."""
    pending = PendingUpdates(asyncio.Event())
    by_node = {'127.0.0.1:1': target('1')}
    first = pending.pop_update(by_node)
    assert first is not None
    assert first.full
    pending.mark_changed('127.0.0.1:1')
    pending.mark_changed('127.0.0.1:1')
    pending.mark_changed('127.0.0.1:9')
    update = pending.pop_update(by_node)
    assert update is not None
    assert [each.id for each in update.upserts] == ['1']
    assert update.removed == ['127.0.0.1:9']
    assert pending.pop_update(by_node) is None


@pytest.mark.parametrize(
    'body',
    [
        MeshAnnounce(target=target('1', node='10.0.0.2:7000')),
        MeshAnnounce(target=target('1', node=_NODE, version='x' * 2000)),
        MeshEvidence(node='10.0.0.2:7000', incarnation=1, rows=[]),
        MeshCrash(
            node='10.0.0.2:7000',
            incarnation=1,
            number=1,
            fingerprints=[],
            age_s=0,
            lifted_index=0,
        ),
    ],
)
def test_node_speaks_for_itself_only(body: Record) -> None:
    """Guards against a faulty node that fills the memory of all control
    instances with what it states of nodes that do not exist.
    """
    with pytest.raises(MalformedFrame, match='expected'):
        check_speaker(body, _NODE)


def test_own_announcement_is_accepted() -> None:
    """Guards against a sound node whose stream is ended."""
    check_speaker(MeshAnnounce(target=target('1', node=_NODE)), _NODE)


def test_nodes_of_another_instance_are_bounded() -> None:
    """Guards against a faulty control instance that fills the memory of the
    others with nodes without end.
    """
    registry = MeshRegistry()
    reported = [target(str(each)) for each in range(MAX_REPORTED)]
    registry.apply_update(
        'c2', MeshTargets(full=True, upserts=reported, removed=[])
    )
    further = MeshTargets(full=False, upserts=[target('more')], removed=[])
    with pytest.raises(MalformedFrame, match='nodes'):
        registry.apply_update('c2', further)
    registry.apply_update('c2', replaced(further, removed=['127.0.0.1:1']))
    assert len(registry.registrations_from('c2')) == MAX_REPORTED
    long = MeshTargets(full=False, upserts=[target('x' * 300)], removed=[])
    with pytest.raises(MalformedFrame, match='characters'):
        registry.apply_update('c2', long)


def test_demand_of_another_instance_is_bounded() -> None:
    """Guards against a faulty control instance that fills the memory of the
    others with limits without end.
    """
    peer = PeerDemand()
    demands = [
        LimitDemand(limit=str(each), per_s=1) for each in range(MAX_LIMITS)
    ]
    peer.apply(AllowanceDemand(full=False, demands=demands))
    peer.apply(AllowanceDemand(full=False, demands=demands))
    more = [LimitDemand(limit='more', per_s=1)]
    with pytest.raises(MalformedFrame, match='limits'):
        peer.apply(AllowanceDemand(full=False, demands=more))
    peer.apply(AllowanceDemand(full=True, demands=more))
    assert peer.per_s('more') == 1
    long = [LimitDemand(limit='x' * 2000, per_s=1)]
    with pytest.raises(MalformedFrame, match='characters'):
        check_demand(AllowanceDemand(full=False, demands=long))

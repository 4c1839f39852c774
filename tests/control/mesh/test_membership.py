"""Tests of the changes of voters by the leader."""

import asyncio
from typing import Any

import pytest
from expression import Ok, Result
from mustardspur_agreement import Committed, ProposalError
from mustardspur_control.mesh.formation import own_peer
from mustardspur_control.mesh.known_controls import MAX_NAMED, PEER_EXPIRY_S
from mustardspur_control.mesh.membership import (
    REMOVE_AFTER_S,
    REMOVE_REPLACED_AFTER_S,
    REMOVE_UNHEARD_AFTER_S,
    Membership,
)
from mustardspur_core.record import replaced
from mustardspur_core.settings import Peer, Settings, parse_settings

from tests.core.mesh.builders import mesh_settings
from tests.support.virtual_time import in_virtual_time

_HEARTBEAT_S = 0.5


def _settings() -> Settings:
    document = {
        'role': 'control',
        'id': 'c1',
        'data_centre': 'split-a',
        'region': 'dalmacija',
        'data_dir': 'unused',
        'peers': [],
        'listen': {'stream': '10.0.0.1:7000', 'http': '10.0.0.1:8000'},
    }
    return parse_settings(document, 'settings').ok


def _peer(name: str) -> Peer:
    own = own_peer(_settings())
    if name == own.id:
        return own
    return replaced(own, id=name, stream=f'{name}:7000')


class _Log:
    """A log of which this instance is the leader; each change commits."""

    is_leader = True
    is_assured = True
    holds_acks = False

    def __init__(self, *voters: str) -> None:
        # Voters that remember nothing.
        self.blank: set[str] = set()
        self.voter_peers = {name: _peer(name) for name in voters}
        # Instances that do not catch up.
        self.behind: set[str] = set()

    @property
    def remembering_ids(self) -> set[str]:
        """The voters that remember."""
        return self.voter_peers.keys() - self.blank

    async def add_voter(self, peer: Peer) -> Result[Any, ProposalError]:
        if peer.id in self.behind:
            await asyncio.Event().wait()
        self.voter_peers[peer.id] = peer
        return Ok(Committed(index=1, term=1, holders=[], answer=None))

    async def remove_voter(self, peer_id: str) -> Result[Any, ProposalError]:
        self.voter_peers.pop(peer_id)
        return Ok(Committed(index=1, term=1, holders=[], answer=None))


class _Group:
    """Membership on a log, with instances that are heard or silent."""

    def __init__(self, *voters: str) -> None:
        self.log = _Log(*voters)
        log: Any = self.log
        self.members = Membership(_settings(), mesh_settings(), log)
        self.task = asyncio.create_task(self.members.run())

    async def hear(self, length_s: float, *names: str) -> list[str]:
        """Hear instances for a while, and return the voters after it."""
        end_s = asyncio.get_running_loop().time() + length_s
        while asyncio.get_running_loop().time() < end_s:
            for name in names:
                self.members.record_seen(_peer(name))
            await asyncio.sleep(_HEARTBEAT_S)
        return sorted(self.log.voter_peers)


@in_virtual_time
async def test_silent_voter_is_removed_late() -> None:
    """Guards against removing a voter that only restarts or freezes."""
    group = _Group('c1', 'c2', 'c3', 'c4')
    await group.hear(2, 'c2', 'c3', 'c4')
    voters = await group.hear(REMOVE_AFTER_S - 4, 'c2', 'c3')
    assert voters == ['c1', 'c2', 'c3', 'c4']
    assert await group.hear(8, 'c2', 'c3') == ['c1', 'c2', 'c3']


@pytest.mark.parametrize('others', [('c2',), ('c2', 'c3')])
@in_virtual_time
async def test_replaced_voter_is_removed_soon(others: tuple[str, ...]) -> None:
    """Guards against a lost quorum when an instance is replaced for good and
    another loses its disk before the former one stops counting.
    """
    group = _Group('c1', *others, 'lost')
    await group.hear(2, *others, 'lost')
    voters = await group.hear(REMOVE_REPLACED_AFTER_S + 3, *others, 'successor')
    assert voters == sorted(['c1', *others, 'successor'])


@in_virtual_time
async def test_instances_are_replaced_one_after_the_other() -> None:
    """Guards against a group that shrinks, or keeps voters that are gone, when
    instances are replaced twice in a row.
    """
    group = _Group('c1', 'c2', 'c3')
    await group.hear(2, 'c2', 'c3')
    await group.hear(8, 'c2', 'c4')
    assert await group.hear(8, 'c4', 'c5') == ['c1', 'c4', 'c5']


@pytest.mark.parametrize('others', [('c2',), ('c2', 'c3')])
@in_virtual_time
async def test_voter_replaced_as_planned_is_removed_soon(
    others: tuple[str, ...],
) -> None:
    """Guards against a lost quorum when another instance loses its disk after
    a planned replacement, in which the new one starts before the old one ends.
    """
    group = _Group('c1', *others, 'old')
    await group.hear(2, *others, 'old')
    await group.hear(4, *others, 'old', 'successor')
    voters = await group.hear(REMOVE_REPLACED_AFTER_S + 2, *others, 'successor')
    assert voters == sorted(['c1', *others, 'successor'])


@in_virtual_time
async def test_returning_voter_replaces_no_other() -> None:
    """Guards against voters that are removed in turn while instances restart
    one after the other, which moves the leadership each time.
    """
    group = _Group('c1', 'c2', 'c3', 'c4')
    await group.hear(2, 'c2', 'c3', 'c4')
    await group.hear(REMOVE_AFTER_S + 2, 'c2', 'c3')
    await group.hear(2, 'c2', 'c3', 'c4')
    voters = await group.hear(REMOVE_REPLACED_AFTER_S + 2, 'c2', 'c4')
    assert voters == ['c1', 'c2', 'c3', 'c4']


@in_virtual_time
async def test_next_leader_removes_a_replaced_voter_at_once() -> None:
    """Guards against a lost quorum when a second instance is replaced, the
    leader, before the first one stops counting.
    """
    group = _Group('c1', 'c2', 'c3', 'lost')
    group.log.is_leader = False
    await group.hear(2, 'c2', 'c3', 'lost')
    group.log.voter_peers['successor'] = _peer('successor')
    await group.hear(REMOVE_REPLACED_AFTER_S + 1, 'c2', 'c3', 'successor')
    group.log.is_leader = True
    voters = await group.hear(1, 'c2', 'c3', 'successor')
    assert voters == ['c1', 'c2', 'c3', 'successor']


@in_virtual_time
async def test_healed_leader_waits_for_the_others() -> None:
    """Guards against removing voters that this instance could not hear."""
    group = _Group('c1', 'c2', 'c3', 'c4')
    await group.hear(2, 'c2', 'c3', 'c4')
    await group.hear(5, 'c2', 'c3', 'c4', 'successor')
    await group.hear(REMOVE_AFTER_S + 1)
    voters = await group.hear(1, 'c2', 'successor')
    assert voters == ['c1', 'c2', 'c3', 'c4', 'successor']


@in_virtual_time
async def test_instance_that_is_behind_delays_no_other() -> None:
    """Guards against a new instance that never joins, as the leader waits for
    another one again and again.
    """
    group = _Group('c1', 'c2', 'c3')
    group.log.behind.add('behind')
    await group.hear(2, 'c2', 'c3', 'behind')
    voters = await group.hear(8, 'c2', 'c3', 'behind', 'c4')
    assert voters == ['c1', 'c2', 'c3', 'c4']


@in_virtual_time
async def test_three_voters_stay() -> None:
    """Guards against fewer than three voters, which bear no loss."""
    group = _Group('c1', 'c2', 'c3')
    await group.hear(2, 'c2', 'c3')
    assert await group.hear(20, 'c2') == ['c1', 'c2', 'c3']


@in_virtual_time
async def test_named_instances_are_known_for_a_while() -> None:
    """Guards against a new instance that knows its seeds only and is never
    added, and against endless connections to one that is gone.
    """
    members = _Group('c1').members
    members.record_named([_peer('leader')])
    assert members.other_peers['leader'] == _peer('leader')
    assert not members.is_live('leader')
    assert 'leader' not in members.peers_to_name
    await asyncio.sleep(PEER_EXPIRY_S + 1)
    assert 'leader' not in members.other_peers


@in_virtual_time
async def test_named_instances_are_bounded() -> None:
    """Guards against an instance that names others without end, which are all
    kept and connected to.
    """
    members = _Group('c1').members
    members.record_named(
        [_peer(f'a{number}') for number in range(2 * MAX_NAMED)]
    )
    members.record_named([_peer('late')])
    assert len(members.other_peers) <= MAX_NAMED
    assert 'late' not in members.other_peers
    await asyncio.sleep(PEER_EXPIRY_S + 1)
    members.record_named([_peer('leader')])
    assert set(members.other_peers) == {'leader'}


@in_virtual_time
async def test_voters_and_live_instances_are_named() -> None:
    """Guards against naming instances that nobody has heard for a while."""
    members = _Group('c1', 'c2').members
    members.record_seen(_peer('c3'))
    assert sorted(members.peers_to_name) == ['c1', 'c2', 'c3']
    await asyncio.sleep(PEER_EXPIRY_S + 1)
    assert 'c2' in members.peers_to_name


def _forming(*voters: str) -> _Group:
    """Return a group that forms, without records of its first voters."""
    group = _Group(*voters)
    group.log.is_assured = False
    group.log.holds_acks = True
    for name, peer in group.log.voter_peers.items():
        group.log.voter_peers[name] = replaced(peer, data_centre='', region='')
    return group


@in_virtual_time
async def test_unheard_first_voter_is_replaced() -> None:
    """Guards against acknowledgements that are held back until they are late
    because a first voter that never started still counts.
    """
    group = _forming('c1', 'c2', 'c3')
    voters = await group.hear(REMOVE_UNHEARD_AFTER_S + 0.5, 'c2', 'c4')
    assert voters == ['c1', 'c2', 'c4']


@in_virtual_time
async def test_unheard_first_voter_stays_alone() -> None:
    """Guards against a group of two voters, which bears no loss."""
    group = _forming('c1', 'c2', 'c3')
    assert await group.hear(REMOVE_AFTER_S + 2, 'c2') == ['c1', 'c2', 'c3']


@in_virtual_time
async def test_first_voter_is_recorded_once_it_remembers() -> None:
    """Guards against a later leader that takes a first voter for one that
    remembers what it acknowledged, although it has not been refilled yet.
    """
    group = _forming('c1', 'c2', 'c3')
    group.log.blank = {'c3'}
    await group.hear(2, 'c2', 'c3')
    recorded = {
        name for name, peer in group.log.voter_peers.items() if peer.data_centre
    }
    assert recorded == {'c1', 'c2'}
    group.log.blank.clear()
    await group.hear(2, 'c2', 'c3')
    assert group.log.voter_peers['c3'].data_centre

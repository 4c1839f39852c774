"""Guards against disk and instance faults that change committed entries."""

from collections.abc import Callable

import pytest
from mustardspur_core.record import replaced
from mustardspur_core.units import MS_PER_S

from tests.agreement.cluster import Cluster, Instance
from tests.agreement.conftest import MakeCluster
from tests.agreement.test_cluster import VOTERS

MANY_ENTRIES = 60


def _propose_entries(cluster: Cluster, count: int = 10) -> None:
    for number in range(count):
        assert cluster.propose(b'%d' % number).is_ok()


def _damage_log(cluster: Cluster, name: str) -> None:
    disk = cluster.instances[name].disk
    segment = next(
        file_name for file_name in disk.names() if file_name.startswith('log-')
    )
    disk.flip_bit(segment, len(disk.files[segment].content) // 2)
    cluster.instances[name].allow_applied_index_loss()


def test_damaged_voter_waits_for_its_refill(make_cluster: MakeCluster) -> None:
    """Guards against a vote of an instance that lost what it acknowledged."""
    cluster = make_cluster(VOTERS)
    cluster.start('c1', 'c2')
    _propose_entries(cluster)
    cluster.stop()
    _damage_log(cluster, 'c1')
    # c3 is empty: with the vote of c1 it could lead without the entries.
    cluster.start('c1', 'c3')
    cluster.advance(20)
    assert cluster.history.count('log_damaged') == 1
    assert not any(instance.running.is_leader for instance in cluster.live())
    cluster.start('c2')
    cluster.settle(20)
    damaged = cluster.instances['c1']
    assert len(damaged.machine.entries) == 10 or not damaged.running.is_trusted


def test_damaged_voter_is_refilled(make_cluster: MakeCluster) -> None:
    """Guards against a damaged voter that never votes again."""
    cluster = make_cluster(VOTERS)
    cluster.start()
    _propose_entries(cluster)
    cluster.advance(5)
    name = next(
        instance.settings.id
        for instance in cluster.live()
        if not instance.running.is_leader
    )
    cluster.stop(name)
    _damage_log(cluster, name)
    cluster.start(name)
    assert not cluster.instances[name].running.is_trusted
    cluster.settle()
    assert cluster.instances[name].running.is_trusted
    assert len(cluster.instances[name].machine.entries) == 10


def test_full_disk_refuses_and_steps_down(make_cluster: MakeCluster) -> None:
    """Guards against an edit that is lost or a leader that is stuck."""
    cluster = make_cluster(VOTERS)
    cluster.start()
    _propose_entries(cluster)
    full = cluster.leader()
    full.disk.full = True
    refused = cluster.propose(b'refused', full.settings.id)
    assert refused.error.kind == 'disk'
    assert not full.running.is_leader
    assert cluster.propose(b'accepted').is_ok()
    assert cluster.leader() is not full
    full.disk.full = False
    cluster.settle()
    assert b'refused' not in full.machine.entries.values()


@pytest.mark.parametrize('refuses_changes', [False, True])
@pytest.mark.parametrize('seed', [1, 2, 3, 4, 5])
def test_disks_that_were_full_in_turn(
    make_cluster: MakeCluster,
    seed: int,
    *,
    refuses_changes: bool,
) -> None:
    """Guards against edits that are refused for good, or lost, after the disks
    of all voters were full for some seconds, one after another.
    """
    cluster = make_cluster(VOTERS, snapshot_entries=5, seed=seed)
    cluster.start()
    accepted = _propose_for(cluster, 2, 'before')
    for name, instance in cluster.instances.items():
        instance.disk.refuses_changes = refuses_changes
        instance.disk.full = True
        accepted |= _propose_for(cluster, 4, f'full-{name}')
        instance.disk.full = False
        accepted |= _propose_for(cluster, 1, f'freed-{name}')
    cluster.advance(5)
    for step in ('at the end', 'after a restart'):
        last = step.encode()
        assert cluster.propose(last).is_ok()
        accepted.add(last)
        cluster.settle()
        for instance in cluster.live():
            assert accepted <= set(instance.machine.entries.values())
            assert instance.running.is_trusted
        cluster.stop()
        cluster.start()


def test_lagging_voter_gets_a_snapshot(make_cluster: MakeCluster) -> None:
    """Guards against a voter that waits for entries that were compacted."""
    cluster = make_cluster(VOTERS, snapshot_entries=10)
    cluster.start()
    _propose_entries(cluster)
    leader = cluster.leader()
    lagging = next(
        instance for instance in cluster.live() if instance is not leader
    )
    cluster.stop(lagging.settings.id)
    _propose_entries(cluster, MANY_ENTRIES)
    cluster.start(lagging.settings.id)
    cluster.settle()
    assert cluster.history.count('snapshot_installed') >= 1
    assert len(lagging.machine.entries) == MANY_ENTRIES + 10
    cluster.stop()
    cluster.start()
    cluster.settle()


async def _record_accepted(
    instance: Instance,
    content: bytes,
    accepted: set[bytes],
) -> None:
    if (await instance.running.propose(content)).is_ok():
        accepted.add(content)


def _propose_for(cluster: Cluster, seconds: int, name: str) -> set[bytes]:
    """Propose entries at the leaders for a while; return the accepted ones."""
    accepted: set[bytes] = set()

    for number in range(5 * seconds):
        for instance in cluster.live():
            if instance.running.is_leader:
                content = f'{name}-{number}'.encode()
                cluster.loop.create_task(
                    _record_accepted(instance, content, accepted)
                )
        cluster.advance(0.2)
    return accepted


def _remove_then_add(cluster: Cluster, lost: str, spare: str) -> None:
    log = cluster.leader().running
    assert cluster.run(log.remove_voter(lost)).is_ok()
    assert cluster.run(log.add_voter(cluster.peer(spare))).is_ok()


def _add_then_remove(cluster: Cluster, lost: str, spare: str) -> None:
    log = cluster.leader().running
    assert cluster.run(log.add_voter(cluster.peer(spare))).is_ok()
    assert cluster.run(log.remove_voter(lost)).is_ok()


@pytest.mark.parametrize('replace', [_remove_then_add, _add_then_remove])
@pytest.mark.parametrize('snapshot_entries', [10, 1000])
def test_two_voters_are_replaced_one_after_the_other(
    make_cluster: MakeCluster,
    replace: Callable[[Cluster, str, str], None],
    snapshot_entries: int,
) -> None:
    """Guards against losing the quorum when a second instance is lost."""
    cluster = make_cluster(
        VOTERS,
        {'c4': 'erie', 'c5': 'michigan'},
        snapshot_entries=snapshot_entries,
    )
    cluster.start()
    _propose_entries(cluster, 30)
    for spare in ('c4', 'c5'):
        leader = cluster.leader().settings.id
        lost = next(
            name
            for name in ('c3', 'c2', 'c1')
            if name != leader and cluster.instances[name].log is not None
        )
        cluster.stop(lost)
        replace(cluster, lost, spare)
        assert cluster.propose(b'after').is_ok()
    voters = cluster.leader().running.voters
    assert len(voters) == 3
    assert {'c4', 'c5'} < set(voters)
    cluster.stop(*(instance.settings.id for instance in cluster.live()))
    cluster.start('c4', 'c5')
    assert cluster.propose(b'by the new ones').is_ok()
    cluster.settle()


def test_one_change_of_voters_at_a_time(make_cluster: MakeCluster) -> None:
    """Guards against two changes whose quorums have no common voter."""
    cluster = make_cluster(VOTERS, {'c4': 'erie', 'c5': 'erie'})
    cluster.start()
    _propose_entries(cluster)
    log = cluster.leader().running
    first, second = cluster.run_concurrently(
        log.add_voter(cluster.peer('c4')),
        log.add_voter(cluster.peer('c5')),
    )
    assert first.is_ok()
    assert second.error.kind == 'busy'


def test_change_waits_for_an_earlier_one(make_cluster: MakeCluster) -> None:
    """Guards against a second change of voters while one is uncommitted."""
    cluster = make_cluster(VOTERS)
    cluster.start()
    _propose_entries(cluster)
    cluster.advance(5)
    leader = cluster.leader()
    others = [one for one in cluster.live() if one is not leader]
    for instance in others:
        instance.disk.full = True
    first, second = [
        cluster.run(leader.running.remove_voter(other.settings.id))
        for other in others
    ]
    assert first.error.kind == 'unknown'
    assert second.is_error()
    assert second.error.kind == 'busy'


def test_needed_voter_is_not_removed(make_cluster: MakeCluster) -> None:
    """Guards against a removal that the voters left cannot commit, and that
    blocks all further changes and entries as long as one of them is away.
    """
    cluster = make_cluster(VOTERS, {'c4': 'erie'})
    cluster.start()
    _propose_entries(cluster)
    leader = cluster.leader()
    needed, away = sorted(set(VOTERS) - {leader.settings.id})
    cluster.stop(away)
    cluster.advance(2)
    outcome = cluster.run(leader.running.remove_voter(needed))
    assert outcome.error.kind == 'no_quorum'
    assert cluster.propose(b'after').is_ok()
    added = cluster.run(leader.running.add_voter(cluster.peer('c4')))
    assert added.is_ok()
    assert cluster.run(leader.running.remove_voter(needed)).is_ok()


def test_removed_leader_steps_down(make_cluster: MakeCluster) -> None:
    """Guards against a leader that is no longer a voter."""
    cluster = make_cluster(VOTERS)
    cluster.start()
    _propose_entries(cluster)
    removed = cluster.leader()
    outcome = removed.running.remove_voter(removed.settings.id)
    assert cluster.run(outcome).is_ok()
    cluster.advance(5)
    assert cluster.leader() is not removed
    term = cluster.leader().running.term
    cluster.propose(b'after')
    cluster.settle(30)
    assert cluster.leader().running.term == term
    assert removed.running.voters == cluster.leader().running.voters


def test_stopped_voter_learns_its_removal(make_cluster: MakeCluster) -> None:
    """Guards against a removed voter that never learns of its removal."""
    cluster = make_cluster(VOTERS)
    cluster.start()
    _propose_entries(cluster)
    leader = cluster.leader()
    away = next(
        instance for instance in cluster.live() if instance is not leader
    )
    cluster.stop(away.settings.id)
    outcome = leader.running.remove_voter(away.settings.id)
    assert cluster.run(outcome).is_ok()
    cluster.start(away.settings.id)
    cluster.propose(b'after')
    cluster.settle(30)
    assert away.running.voters == leader.running.voters


def test_proposals_share_syncs(make_cluster: MakeCluster) -> None:
    """Guards against a separate sync for each entry under load."""
    cluster = make_cluster({'c1': 'erie'})
    cluster.start()
    _propose_entries(cluster, 1)
    log = cluster.leader().running
    started_ms = cluster.loop.time() * MS_PER_S
    cluster.run_concurrently(
        *(log.propose(b'entry') for _ in range(MANY_ENTRIES))
    )
    lasted_ms = cluster.loop.time() * MS_PER_S - started_ms
    # One write of entries and one commit mark at 2 ms each, both perhaps
    # after a write in progress.
    assert lasted_ms < 10


@pytest.mark.parametrize('first_start', [True, False])
def test_empty_disk_does_not_vote_for_a_written_log(
    make_cluster: MakeCluster,
    *,
    first_start: bool,
) -> None:
    """Guards against a wiped voter helping a leader that lacks entries."""
    cluster = make_cluster(VOTERS, first_start=first_start)
    cluster.start()
    _propose_entries(cluster)
    cluster.stop()
    cluster.lose_disk('c3')
    cluster.start('c1', 'c3')
    cluster.advance(20)
    assert not any(instance.running.is_leader for instance in cluster.live())
    cluster.start('c2')
    cluster.readmit()
    cluster.settle(20)
    assert all(instance.running.is_trusted for instance in cluster.live())


def test_damaged_voter_does_not_count(make_cluster: MakeCluster) -> None:
    """Guards against a quorum that includes an instance without entries."""
    cluster = make_cluster(VOTERS)
    cluster.start()
    _propose_entries(cluster)
    cluster.advance(5)
    leader = cluster.leader().settings.id
    damaged, away = (name for name in VOTERS if name != leader)
    cluster.stop(damaged)
    _damage_log(cluster, damaged)
    cluster.advance(1)
    cluster.network.block(leader, away)
    cluster.network.block(damaged, away)
    cluster.start(damaged)
    assert cluster.propose(b'not on a quorum', leader).error.kind == 'unknown'
    cluster.advance(20)
    assert not cluster.instances[damaged].running.is_trusted


def test_full_disks_of_a_quorum_end_a_proposal(
    make_cluster: MakeCluster,
) -> None:
    """Guards against an edit that is never answered."""
    cluster = make_cluster(VOTERS)
    cluster.start()
    _propose_entries(cluster)
    cluster.advance(5)
    leader = cluster.leader()
    for instance in cluster.live():
        instance.disk.full = instance is not leader
    outcome = cluster.propose(b'waits', leader.settings.id)
    assert outcome.error.kind == 'unknown'


def test_change_waits_for_the_commit_of_the_one_before(
    make_cluster: MakeCluster,
) -> None:
    """Guards against an accepted entry that is lost, since two changes without
    a quorum left a leader whose quorum has no voter of the former one.
    """
    cluster = make_cluster(VOTERS, {'c4': 'erie', 'c5': 'erie'})
    cluster.start()
    _propose_entries(cluster)
    cluster.advance(5)
    leader = cluster.leader()
    others = [name for name in VOTERS if name != leader.settings.id]
    for name in others:
        cluster.instances[name].disk.full = True
    for name in ('c4', 'c5'):
        cluster.run(leader.running.add_voter(cluster.peer(name)))
    accepted = cluster.propose(b'accepted', leader.settings.id).is_ok()
    cluster.stop(leader.settings.id, 'c4', 'c5')
    for name in others:
        cluster.instances[name].disk.full = False
    cluster.advance(20)
    assert cluster.propose(b'by the former voters').is_ok()
    entries = cluster.leader().machine.entries.values()
    assert not accepted or b'accepted' in entries


def test_unreachable_voter_is_not_added(make_cluster: MakeCluster) -> None:
    """Guards against a quorum that needs an instance without entries."""
    cluster = make_cluster(VOTERS, {'c4': 'erie'})
    cluster.start(*VOTERS)
    _propose_entries(cluster)
    log = cluster.leader().running
    outcome = cluster.run(log.add_voter(cluster.peer('c4')))
    assert outcome.error.kind == 'no_quorum'
    assert log.voters == sorted(VOTERS)


def test_new_leader_commits_before_a_change(make_cluster: MakeCluster) -> None:
    """Guards against changes of two leaders without a common quorum."""
    cluster = make_cluster(VOTERS)
    cluster.start()
    _propose_entries(cluster)
    cluster.advance(5)
    leader = cluster.replace_leader()
    cluster.isolate(leader.settings.id)
    outcome = leader.running.remove_voter(
        next(name for name in VOTERS if name != leader.settings.id),
    )
    assert cluster.run(outcome).error.kind == 'not_leader'
    assert leader.running.voters == sorted(VOTERS)


def test_description_of_a_voter_is_replaced(
    make_cluster: MakeCluster,
) -> None:
    """Guards against a leader that waits for itself to catch up."""
    cluster = make_cluster(VOTERS)
    cluster.start()
    _propose_entries(cluster)
    log = cluster.leader().running
    own = cluster.peer(cluster.leader().settings.id)
    moved = replaced(own, data_centre='elsewhere')
    assert cluster.run(log.add_voter(moved)).is_ok()
    assert log.voter_peers[own.id].data_centre == 'elsewhere'


def test_unknown_regions_move_no_leader(make_cluster: MakeCluster) -> None:
    """Guards against endless leadership transfers."""
    cluster = make_cluster(VOTERS)
    cluster.start()
    _propose_entries(cluster)
    log = cluster.leader().running
    for name in VOTERS:
        unknown = replaced(cluster.peer(name), region='')
        assert cluster.run(log.add_voter(unknown)).is_ok()
    term = log.term
    cluster.advance(60)
    assert log.is_leader
    assert log.term == term

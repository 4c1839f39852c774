"""Guards against a recovery that loses entries or hides damage."""

from mustardspur_agreement import recover_alone

from tests.agreement.cluster import Cluster
from tests.agreement.conftest import MakeCluster
from tests.agreement.test_cluster import VOTERS

ENTRIES = 10


def _filled_and_stopped(make_cluster: MakeCluster) -> Cluster:
    cluster = make_cluster(VOTERS)
    cluster.start()
    for number in range(ENTRIES):
        assert cluster.propose(b'%d' % number).is_ok()
    cluster.advance(5)
    cluster.stop()
    return cluster


def test_recovered_instance_commits_alone(make_cluster: MakeCluster) -> None:
    """Guards against a lost majority that permanently blocks edits."""
    cluster = _filled_and_stopped(make_cluster)
    survivor = cluster.instances['c1']
    recovered = recover_alone(survivor.settings, survivor.disk)
    assert recovered.is_ok()
    cluster.start('c1')
    cluster.settle()
    assert survivor.running.voters == ['c1']
    assert len(survivor.machine.entries) == ENTRIES
    assert cluster.propose(b'after').is_ok()


def test_recovered_voters_survive_a_restart(
    make_cluster: MakeCluster,
) -> None:
    """Guards against a recovery that does not survive a restart."""
    cluster = _filled_and_stopped(make_cluster)
    survivor = cluster.instances['c2']
    assert recover_alone(survivor.settings, survivor.disk).is_ok()
    cluster.start('c2')
    cluster.settle()
    cluster.stop('c2')
    cluster.start('c2')
    cluster.settle()
    assert survivor.running.voters == ['c2']
    assert len(survivor.machine.entries) == ENTRIES


def test_damaged_instance_is_not_recovered(make_cluster: MakeCluster) -> None:
    """Guards against recovering from files that lack committed entries."""
    cluster = _filled_and_stopped(make_cluster)
    damaged = cluster.instances['c1']
    segment = next(
        name for name in damaged.disk.names() if name.startswith('log-')
    )
    middle = len(damaged.disk.files[segment].content) // 2
    damaged.disk.flip_bit(segment, middle)
    assert recover_alone(damaged.settings, damaged.disk).is_error()


def test_empty_instance_is_not_recovered(make_cluster: MakeCluster) -> None:
    """Guards against an empty log in place of the lost one."""
    cluster = make_cluster(VOTERS)
    empty = cluster.instances['c1']
    assert recover_alone(empty.settings, empty.disk).is_error()

"""Guards against lost, changed or stale committed entries."""

from types import MappingProxyType

from tests.agreement.conftest import MakeCluster

VOTERS = MappingProxyType({'c1': 'erie', 'c2': 'erie', 'c3': 'michigan'})


def test_single_voter_commits_at_once(make_cluster: MakeCluster) -> None:
    """Guards against a single voter that waits for votes of others."""
    cluster = make_cluster({'c1': 'erie'})
    cluster.start()
    assert cluster.propose(b'entry').ok.index == 2
    assert cluster.loop.time() < cluster.instances['c1'].election_s


def test_follower_of_another_region_follows(make_cluster: MakeCluster) -> None:
    """Guards against a non-voting instance missing committed entries."""
    cluster = make_cluster(VOTERS, {'c4': 'michigan', 'c5': 'dalmacija'})
    cluster.start()
    for number in range(20):
        cluster.propose(b'%d' % number)
    cluster.settle()
    assert len(cluster.instances['c5'].machine.entries) == 20
    assert cluster.barrier('c5').ok >= 21

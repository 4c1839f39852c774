"""Guards against followers that miss entries or cross regions needlessly."""

from types import MappingProxyType

import pytest
from mustardspur_agreement.upstreams import upstreams
from mustardspur_core.record import replaced

from tests.agreement.cluster import instance_settings, peer_settings
from tests.agreement.conftest import MakeCluster
from tests.agreement.test_cluster import VOTERS

OTHERS = MappingProxyType(
    {'c4': 'michigan', 'c5': 'dalmacija', 'c6': 'dalmacija'},
)


@pytest.mark.parametrize(
    ('name', 'leader', 'first_ids'),
    [
        ('c4', 'c1', ['c3', 'c1', 'c2']),
        ('c5', 'c1', ['c1', 'c2', 'c3', 'c4']),
        ('c5', 'c3', ['c3', 'c4', 'c1', 'c2']),
        ('c5', None, ['c1', 'c2', 'c3', 'c4']),
        ('c6', 'c1', ['c5', 'c1', 'c2', 'c3']),
    ],
)
def test_nearest_upstream_comes_first(
    name: str,
    leader: str | None,
    first_ids: list[str],
) -> None:
    """Guards against several streams of entries to one region."""
    peers = [
        peer_settings(peer_id, voter=peer_id in VOTERS, region=region)
        for peer_id, region in {**VOTERS, **OTHERS}.items()
    ]
    order = [
        peer.id
        for peer in upstreams(instance_settings(name, peers), {}, leader)
    ]
    assert order[: len(first_ids)] == first_ids


def test_region_of_a_voter_is_known() -> None:
    """Guards against a follower that gets its entries from another region,
    because its settings list the first voters without a region.
    """
    peers = [
        peer_settings(name, voter=True, region=region)
        for name, region in {**VOTERS, 'c4': OTHERS['c4']}.items()
    ]
    settings = instance_settings('c4', peers)
    voters = {peer.id: peer for peer in settings.peers if peer.id in VOTERS}
    unknown = [replaced(peer, region='') for peer in settings.peers]
    settings = replaced(settings, peers=unknown)
    order = upstreams(settings, voters, 'c1')
    assert order[0].region == settings.region


@pytest.mark.parametrize('snapshot_entries', [10, 1000])
def test_follower_resumes(
    make_cluster: MakeCluster,
    snapshot_entries: int,
) -> None:
    """Guards against a restarted follower that misses or repeats entries."""
    cluster = make_cluster(VOTERS, OTHERS, snapshot_entries=snapshot_entries)
    cluster.start()
    for number in range(15):
        cluster.propose(b'%d' % number)
    cluster.settle()
    cluster.stop('c5')
    for number in range(60):
        cluster.propose(b'%d' % number)
    cluster.start('c5')
    cluster.settle()
    assert len(cluster.instances['c5'].machine.entries) == 75
    installed = cluster.history.count('snapshot_installed')
    assert bool(installed) is (snapshot_entries == 10)


def test_follower_serves_its_state_without_a_quorum(
    make_cluster: MakeCluster,
) -> None:
    """Guards against an applied index that goes back with a restart."""
    cluster = make_cluster(VOTERS, OTHERS)
    cluster.start()
    cluster.propose(b'entry')
    cluster.settle()
    cluster.stop()
    cluster.start('c5')
    assert list(cluster.instances['c5'].machine.entries.values()) == [b'entry']
    assert cluster.barrier('c5').is_error()


def test_follower_leaves_a_stale_upstream(make_cluster: MakeCluster) -> None:
    """Guards against following an instance without contact to a leader."""
    cluster = make_cluster(VOTERS, OTHERS)
    cluster.start()
    cluster.propose(b'entry')
    cluster.settle()
    for other in ('c1', 'c2', 'c3', 'c4'):
        cluster.network.block('c5', other)
    cluster.propose(b'missed by c5')
    cluster.advance(20)
    assert len(cluster.instances['c6'].machine.entries) == 2
    assert cluster.barrier('c6').is_ok()
    assert cluster.barrier('c5').is_error()

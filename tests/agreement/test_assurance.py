"""Tests of what is waited for before an entry is acknowledged."""

from contextlib import closing
from typing import Any

import pytest
from mustardspur_agreement.assurance import HOLD_LIMIT_S
from mustardspur_core.record import replaced

from tests.agreement.cluster import Cluster

REGION = 'dalmacija'


def _cluster(count: int, *, is_recorded: bool) -> Cluster:
    """Return a mesh whose first voters are recorded, or not yet."""
    cluster = Cluster({f'c{number}': REGION for number in range(count)})
    for instance in cluster.instances.values():
        if not is_recorded:
            peers = [
                replaced(peer, data_centre='', region='')
                for peer in instance.settings.peers
            ]
            instance.settings = replaced(instance.settings, peers=peers)
    return cluster


def _ack(cluster: Cluster) -> Any:
    """Return whether a new entry survives a lost disk, and the time taken."""
    leader = cluster.leader()
    committed = cluster.propose(b'entry').ok
    started_s = cluster.loop.time()
    assured = cluster.run(leader.running.assure(committed)).ok
    return assured, cluster.loop.time() - started_s


@pytest.mark.parametrize('count', [1, 2])
def test_small_group_does_not_wait(count: int) -> None:
    """Guards against one or two instances that accept no order in time."""
    with closing(_cluster(count, is_recorded=False)) as cluster:
        cluster.start()
        assert _ack(cluster) == (True, 0)


def test_recorded_group_does_not_wait() -> None:
    """Guards against acknowledgements that are held back after the formation,
    at a leader that has not heard one of the voters.
    """
    with closing(_cluster(3, is_recorded=True)) as cluster:
        cluster.start('c0', 'c1')
        assert _ack(cluster) == (True, 0)


def test_group_waits_for_its_first_voters() -> None:
    """Guards against an acknowledgement while a first voter has not started,
    so that with one lost disk no quorum is left.
    """
    with closing(_cluster(3, is_recorded=False)) as cluster:
        cluster.start('c0', 'c1')
        leader = cluster.leader()
        committed = cluster.propose(b'entry').ok
        task = cluster.loop.create_task(leader.running.assure(committed))
        cluster.advance(1)
        assert not task.done()
        assert cluster.history.count('acks_held') == 1
        cluster.start('c2')
        cluster.advance(1)
        assert task.result().ok
        assert cluster.history.count('acks_assured') == 1


def test_wait_is_bounded_once_for_all_orders() -> None:
    """Guards against a mesh that does not accept an order as long as a first
    voter is away, and against each order waiting anew.
    """
    with closing(_cluster(3, is_recorded=False)) as cluster:
        cluster.start('c0', 'c1')
        assured, waited_s = _ack(cluster)
        assert not assured
        assert waited_s == pytest.approx(HOLD_LIMIT_S)
        assert _ack(cluster) == (False, 0)
        events = dict(cluster.history.events)
        assert events['acks_not_assured']['not_heard'] == ['c2']
        assert cluster.history.count('acks_not_assured') == 1


def test_uncommitted_change_of_voters_assures_nothing() -> None:
    """Guards against an acknowledgement that relies on voters which the next
    leader does not know of.
    """
    with closing(_cluster(4, is_recorded=False)) as cluster:
        cluster.start('c0', 'c1', 'c2')
        leader = cluster.leader()
        assert cluster.propose(b'entry').is_ok()
        assert not leader.running.is_assured
        for each in cluster.live():
            cluster.isolate(each.settings.id)
        removal = leader.running.remove_voter('c3')
        cluster.loop.create_task(removal)
        cluster.advance(0.1)
        assert 'c3' not in leader.running.voters
        assert not leader.running.is_assured


def test_end_of_the_term_leaves_the_answer_open() -> None:
    """Guards against an acknowledgement by a former leader."""
    with closing(_cluster(3, is_recorded=False)) as cluster:
        cluster.start('c0', 'c1')
        leader = cluster.leader()
        committed = cluster.propose(b'entry').ok
        task = cluster.loop.create_task(leader.running.assure(committed))
        cluster.isolate(leader.settings.id)
        cluster.advance(2)
        assert task.result().error.kind == 'unknown'

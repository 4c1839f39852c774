"""Guards against appends that lose or mix up entries and stale reads."""

from typing import Any

import pytest
from mustardspur_agreement.entries import Entry, pack_entries
from mustardspur_agreement.following import Following
from mustardspur_agreement.messages import AppendRequest, FollowEntries
from mustardspur_agreement.receiving import Receiver
from mustardspur_core.wire import MalformedFrame

from tests.agreement.cluster import Cluster
from tests.agreement.conftest import MakeCluster
from tests.agreement.test_cluster import VOTERS
from tests.agreement.test_storage import entry


def _append_request(*entries: Entry, **changes: Any) -> AppendRequest:
    fields: dict[str, Any] = {
        'term': 3,
        'leader': 'c2',
        'prev_index': entries[0].index - 1,
        'prev_term': 3,
        'commit_index': 0,
        'packed': pack_entries(list(entries), compressed=False),
        'compressed': False,
    }
    return AppendRequest(**{**fields, **changes})


def _replica(cluster: Cluster) -> Any:
    return cluster.instances['c1'].running._components.replica


@pytest.mark.parametrize(
    ('sent', 'accepted', 'terms'),
    [
        (_append_request(entry(4)), True, [3, 3, 3, 3]),
        (_append_request(entry(2)), True, [3, 3, 3]),
        (_append_request(entry(3, term=4), term=4), True, [3, 3, 4]),
        (_append_request(entry(2, term=4), term=4), True, [3, 4]),
        (_append_request(entry(4), prev_term=2), False, [3, 3, 3]),
        (_append_request(entry(5)), False, [3, 3, 3]),
        (_append_request(entry(3, term=2), term=2), False, [3, 3, 3]),
    ],
)
def test_append(
    make_cluster: MakeCluster,
    sent: AppendRequest,
    accepted: bool,
    terms: list[int],
) -> None:
    """Guards against a late, misplaced or outdated append taking effect."""
    cluster = make_cluster(VOTERS)
    cluster.start('c1')
    replica: Any = cluster.instances['c1'].running._components.replica
    receiver = Receiver(replica)
    first = _append_request(entry(1), entry(2), entry(3), prev_term=0)
    assert cluster.run(receiver.answer_append(first)).accepted
    reply = cluster.run(receiver.answer_append(sent))
    assert reply.accepted is accepted
    found = replica.entries.between(1, 9)
    assert [stored.term for stored in found] == terms


@pytest.mark.parametrize('last_index', [3, 4])
def test_truncated_entries_are_not_acknowledged(
    make_cluster: MakeCluster,
    last_index: int,
) -> None:
    """Guards against an acknowledged entry that is gone after a restart, as it
    was in memory only after the disk had refused to sync a truncation.
    """
    cluster = make_cluster(VOTERS)
    cluster.start('c1')
    instance = cluster.instances['c1']
    receiver = Receiver(_replica(cluster))
    # The new term is recorded before the disk refuses.
    for term in (3, 4):
        first = _append_request(
            entry(1), entry(2), entry(3), prev_term=0, term=term
        )
        assert cluster.run(receiver.answer_append(first)).accepted
    instance.disk.refuses_syncs = True
    cluster.run(
        receiver.answer_append(_append_request(entry(2, term=4), term=4))
    )
    instance.disk.refuses_syncs = False
    replies = [
        cluster.run(
            receiver.answer_append(_append_request(entry(index), term=5))
        )
        for index in range(3, last_index + 1)
    ]
    acknowledged = max(reply.index * reply.accepted for reply in replies)
    cluster.stop()
    cluster.start('c1')
    assert _replica(cluster).entries.last_index >= acknowledged
    assert instance.running.is_trusted


@pytest.mark.parametrize(
    'sent',
    [
        _append_request(entry(2, term=4), term=4),
        _append_request(entry(1, term=4), entry(2), term=4, prev_term=0),
        _append_request(entry(3), prev_term=4, term=4),
    ],
)
def test_other_committed_entry_is_refused(
    make_cluster: MakeCluster,
    sent: AppendRequest,
) -> None:
    """Guards against a leader that counts an entry which is not stored."""
    cluster = make_cluster(VOTERS)
    cluster.start('c1')
    replica: Any = cluster.instances['c1'].running._components.replica
    receiver = Receiver(replica)
    first = _append_request(entry(1), entry(2), prev_term=0, commit_index=2)
    assert cluster.run(receiver.answer_append(first)).trusted
    for _ in range(3):
        reply = cluster.run(receiver.answer_append(sent))
        assert (reply.accepted, reply.trusted, reply.index) == (False, False, 0)
    assert [each.term for each in replica.entries.between(1, 9)] == [3, 3]
    assert cluster.history.count('committed_entry_conflict') == 1


def test_other_committed_entry_ends_a_follow_stream(
    make_cluster: MakeCluster,
) -> None:
    """Guards against an instance that skips entries of its upstream."""
    cluster = make_cluster(VOTERS)
    cluster.start('c1')
    replica: Any = cluster.instances['c1'].running._components.replica
    first = _append_request(entry(1), entry(2), prev_term=0, commit_index=2)
    cluster.run(Receiver(replica).answer_append(first))
    frame = FollowEntries(
        term=4,
        leader='c2',
        prev_index=1,
        packed=pack_entries([entry(2, term=4)], compressed=False),
        compressed=False,
        age_s=0,
    )
    with pytest.raises(MalformedFrame):
        cluster.run(Following(replica).receive(frame))
    assert cluster.history.count('committed_entry_conflict') == 1


def test_barrier_waits_for_the_apply(make_cluster: MakeCluster) -> None:
    """Guards against an instance that reads before its state is current."""
    cluster = make_cluster(VOTERS, {'c4': 'michigan'})
    cluster.start()
    cluster.propose(b'entry')
    cluster.advance(5)
    for name, instance in cluster.instances.items():
        index = cluster.propose(b'entry').ok.index
        instance.disk_delay_s = 0.1
        assert cluster.barrier(name).ok >= index
        instance.disk_delay_s = 0.001
        assert index in instance.machine.entries


def test_barrier_at_a_new_leader_is_current(make_cluster: MakeCluster) -> None:
    """Guards against a new leader that does not know what is committed."""
    cluster = make_cluster(VOTERS)
    cluster.start()
    cluster.propose(b'entry')
    cluster.advance(5)
    index = cluster.propose(b'known only to the old leader').ok.index
    leader = cluster.replace_leader()
    assert cluster.barrier(leader.settings.id).ok >= index


def test_gap_in_a_follow_stream_is_refused(make_cluster: MakeCluster) -> None:
    """Guards against a gap in the log after frames out of order."""
    cluster = make_cluster(VOTERS)
    cluster.start('c1')
    following = Following(cluster.instances['c1'].running._components.replica)
    frame = FollowEntries(
        term=3,
        leader='c2',
        prev_index=4,
        packed=pack_entries([entry(5)], compressed=False),
        compressed=False,
        age_s=0,
    )
    with pytest.raises(MalformedFrame):
        cluster.run(following.receive(frame))

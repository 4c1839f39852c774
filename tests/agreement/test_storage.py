"""Guards against stored state that differs from the acknowledged state."""

from collections.abc import Callable
from contextlib import suppress
from random import Random

import pytest
from mustardspur_agreement.ballot import Ballot
from mustardspur_agreement.entries import Entry
from mustardspur_agreement.segments import UncertainWriteError
from mustardspur_agreement.snapshots import Snapshot
from mustardspur_agreement.storage import Loaded, LogStorage

from tests.agreement.fake_disk import FakeDisk, PowerLossError

VOTE = Ballot(term=3, voted_for='c2', trusted=True)
SEGMENT = 'log-00000000000000000001'


def entry(index: int, term: int = 3) -> Entry:
    """Return an entry whose content names its index."""
    return Entry(index=index, term=term, kind=0, content=b'%d' % index)


def written(disk: FakeDisk, last_index: int = 9) -> LogStorage:
    """Return storage with a vote and some entries."""
    storage = LogStorage(disk)
    storage.load()
    storage.save_ballot(VOTE)
    for index in range(1, last_index + 1):
        storage.append([entry(index)])
    storage.mark_commit(5)
    return storage


def loaded(disk: FakeDisk) -> Loaded:
    """Return the state loaded after a restart."""
    return LogStorage(disk).load()


def _cut_tail(disk: FakeDisk) -> None:
    disk.cut(SEGMENT, len(disk.files[SEGMENT].content) - 5)


def _flip_middle(disk: FakeDisk) -> None:
    disk.flip_bit(SEGMENT, len(disk.files[SEGMENT].content) // 2)


def _flip_last(disk: FakeDisk) -> None:
    disk.flip_bit(SEGMENT, len(disk.files[SEGMENT].content) - 5)


def _flip_first(disk: FakeDisk) -> None:
    disk.flip_bit(SEGMENT, 1)


def _flip_both_ballots(disk: FakeDisk) -> None:
    disk.flip_bit('ballot-1', 20)
    disk.flip_bit('ballot-2', 20)


def _lose_ballots(disk: FakeDisk) -> None:
    disk.remove('ballot-1')
    disk.remove('ballot-2')


def _lose_entries(disk: FakeDisk) -> None:
    disk.remove(SEGMENT)


@pytest.mark.parametrize(
    ('damage', 'last_index', 'trusted'),
    [
        (_cut_tail, 8, True),
        (_flip_middle, 4, False),
        (_flip_last, 8, False),
        (_flip_first, 0, False),
        (_flip_both_ballots, 9, False),
        (_lose_ballots, 9, False),
        (_lose_entries, 0, False),
    ],
)
def test_damaged_files(
    damage: Callable[[FakeDisk], None],
    last_index: int,
    trusted: bool,
) -> None:
    """Guards against damage that is removed without a trace or trusted."""
    disk = FakeDisk()
    written(disk)
    damage(disk)
    found = loaded(disk)
    assert [stored.index for stored in found.entries][-1:] == [last_index][
        : bool(last_index)
    ]
    assert found.ballot.trusted is trusted
    assert bool(found.damage) is not trusted
    reloaded = loaded(disk)
    assert reloaded.entries == found.entries
    assert reloaded.ballot.trusted is trusted


@pytest.mark.parametrize('name', ['ballot-1', 'ballot-2'])
def test_one_damaged_ballot_keeps_the_vote(name: str) -> None:
    """Guards against a second vote in a term after damage to one copy."""
    disk = FakeDisk()
    written(disk)
    disk.flip_bit(name, 20)
    assert loaded(disk).ballot == VOTE


@pytest.mark.parametrize('operations', range(10))
def test_power_loss_while_voting(operations: int) -> None:
    """Guards against a vote that is neither the old nor the new one."""
    for seed in range(8):
        disk = FakeDisk()
        storage = written(disk)
        disk.operations_left = operations
        new_vote = Ballot(term=4, voted_for='c3', trusted=True)
        with pytest.raises(PowerLossError):
            storage.save_ballot(new_vote)
        disk.lose_power(Random(seed))
        assert loaded(disk).ballot in (VOTE, new_vote)


@pytest.mark.parametrize('operations', range(2))
def test_power_loss_while_appending(operations: int) -> None:
    """Guards against a lost write that damages entries before it."""
    for seed in range(8):
        disk = FakeDisk()
        storage = written(disk)
        disk.operations_left = operations
        with pytest.raises(PowerLossError):
            storage.append([entry(10), entry(11)])
        disk.lose_power(Random(seed))
        found = loaded(disk)
        assert not found.damage
        assert found.entries[:9] == [entry(index) for index in range(1, 10)]


def test_synced_writes_survive_power_loss() -> None:
    """Guards against an acknowledgement without a sync."""
    for seed in range(8):
        disk = FakeDisk()
        written(disk)
        disk.lose_power(Random(seed))
        found = loaded(disk)
        assert found.entries[-1].index == 9
        assert found.ballot == VOTE
        assert found.commit_index == 5


def test_full_disk_keeps_nothing_of_a_refused_entry() -> None:
    """Guards against a refused entry that comes back after a restart."""
    disk = FakeDisk()
    storage = written(disk)
    disk.full = True
    with pytest.raises(OSError) as caught:
        storage.append([entry(10)])
    assert not isinstance(caught.value, UncertainWriteError)
    storage.mark_commit(9)
    found = loaded(disk)
    assert found.entries[-1].index == 9
    assert found.commit_index == 9
    assert not found.torn
    disk.full = False
    storage.append([entry(10)])
    assert loaded(disk).entries[-1].index == 10


def test_failed_write_is_undone_in_its_own_segment() -> None:
    """Guards against an instance that finds damage after a restart, and is
    not trusted, since a snapshot was taken between a failed write that could
    not be undone and the next entry.
    """
    disk = FakeDisk()
    storage = written(disk)
    disk.refuses_changes = True
    disk.full = True
    with pytest.raises(UncertainWriteError):
        storage.append([entry(10)])
    disk.full = False
    storage.save_snapshot(Snapshot(index=5, term=3, voters=[], content=b''))
    storage.append([entry(10)])
    found = loaded(disk)
    assert not found.damage
    assert found.entries[-1].index == 10


@pytest.mark.parametrize('first_index', [6, 8])
def test_refused_truncation_is_completed(first_index: int) -> None:
    """Guards against entries behind a gap in the file, and against entries in
    memory that the disk no longer holds, once it refused to sync a truncation.
    """
    disk = FakeDisk()
    storage = written(disk, last_index=5)
    storage.save_snapshot(Snapshot(index=5, term=3, voters=[], content=b''))
    storage.append([entry(index) for index in (6, 7, 8, 9)])
    disk.refuses_syncs = True
    with pytest.raises(OSError, match='input'):
        storage.truncate(first_index)
    with pytest.raises(OSError, match='input'):
        storage.append([entry(first_index, term=4)])
    disk.refuses_syncs = False
    storage.append([entry(first_index, term=4)])
    found = loaded(disk)
    assert not found.damage
    assert not found.torn
    terms = [each.term for each in found.entries if each.index > 5]
    assert terms == ([3, 3, 3, 3][: first_index - 6] + [4])


def test_refused_removal_is_completed() -> None:
    """Guards against entries on both sides of a gap, once the disk refused to
    remove the entries that an installed snapshot replaces.
    """
    disk = FakeDisk()
    storage = written(disk)
    storage.save_snapshot(Snapshot(index=5, term=3, voters=[], content=b''))
    storage.append([entry(10)])
    snapshot = Snapshot(index=20, term=4, voters=[], content=b'')
    disk.refused_name = SEGMENT
    storage.install(snapshot)
    disk.refused_name = ''
    storage.append([entry(21, term=4)])
    found = loaded(disk)
    assert not found.damage
    assert found.snapshot == snapshot
    assert [each.index for each in found.entries] == [21]


def test_installation_that_a_restart_interrupts() -> None:
    """Guards against an instance that loses its vote at a restart, as only some
    of the files that an installed snapshot replaces were removed before it.
    """
    disk = FakeDisk()
    storage = written(disk)
    storage.save_snapshot(Snapshot(index=5, term=3, voters=[], content=b''))
    storage.append([entry(10)])
    storage.mark_commit(10)
    snapshot = Snapshot(index=20, term=4, voters=[], content=b'')
    disk.refused_name = SEGMENT
    storage.install(snapshot)
    disk.refused_name = ''
    found = loaded(disk)
    assert not found.damage
    assert found.ballot.trusted
    assert found.snapshot == snapshot
    assert not found.entries
    assert found.commit_index == 20


def test_snapshots_without_entries_in_between() -> None:
    """Guards against the removal of old entries that also removes later ones,
    after two snapshots were taken while no entry was appended.
    """
    disk = FakeDisk()
    storage = written(disk)
    for index in (5, 9):
        storage.save_snapshot(
            Snapshot(index=index, term=3, voters=[], content=b''),
        )
    storage.append([entry(10)])
    storage.append([entry(11)])
    storage.drop_through(9)
    found = loaded(disk)
    assert not found.damage
    assert [each.index for each in found.entries] == [10, 11]


def test_replaced_entries_stay_replaced() -> None:
    """Guards against overwritten entries of an earlier leader."""
    disk = FakeDisk()
    storage = written(disk)
    storage.truncate(7)
    storage.append([entry(7, term=4)])
    terms = [stored.term for stored in loaded(disk).entries]
    assert terms == [3, 3, 3, 3, 3, 3, 4]


@pytest.mark.parametrize('operations', range(12))
def test_power_loss_while_installing(operations: int) -> None:
    """Guards against a log that is not contiguous with its snapshot."""
    snapshot = Snapshot(index=20, term=4, voters=[], content=b'state')
    for seed in range(8):
        disk = FakeDisk()
        storage = written(disk)
        disk.operations_left = operations
        with suppress(PowerLossError):
            storage.install(snapshot)
        disk.lose_power(Random(seed))
        found = loaded(disk)
        assert not found.damage
        if found.snapshot:
            assert (found.entries, found.commit_index) == ([], 20)
        else:
            assert len(found.entries) == 9


def test_truncation_keeps_what_the_snapshot_lacks() -> None:
    """Guards against dropping entries that no snapshot includes."""
    disk = FakeDisk()
    storage = written(disk)
    storage.save_snapshot(
        Snapshot(index=5, term=3, voters=[], content=b'state'),
    )
    storage.append([entry(10)])
    storage.drop_through(5)
    assert [one.index for one in loaded(disk).entries][-5:] == [6, 7, 8, 9, 10]
    disk.remove(SEGMENT)
    assert 'missing' in loaded(disk).damage

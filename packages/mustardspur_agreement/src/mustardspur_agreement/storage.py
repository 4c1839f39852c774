"""All files of the replicated log of one instance."""

from contextlib import suppress

from mustardspur_core.record import Record

from mustardspur_agreement.ballot import (
    TEMPORARY_SUFFIX,
    Ballot,
    load_ballot,
    save_ballot,
)
from mustardspur_agreement.ballot_rules import after_damage
from mustardspur_agreement.commit_marks import CommitMarks
from mustardspur_agreement.entries import Entry
from mustardspur_agreement.ports import Disk
from mustardspur_agreement.records import FileState
from mustardspur_agreement.segments import SegmentLog
from mustardspur_agreement.snapshots import (
    Snapshot,
    has_snapshot,
    load_snapshot,
    remove_snapshot,
    save_snapshot,
)


class Loaded(Record):
    """State loaded from the files at start.

    Parameters
    ----------
    ballot : Ballot
        Term and vote; untrusted if the files are new or damaged.
    snapshot : Snapshot or None
        The newest snapshot.
    entries : list of Entry
        Entries of the log, some of which the snapshot may include.
    commit_index : int
        Highest index known to be committed.
    damage : str
        Description of the damage, empty if the files are intact.
    torn : bool
        Whether an incomplete write was removed.
    fresh : bool
        Whether there are no files, so that nothing was acknowledged with
        this disk.
    """

    __slots__ = (
        'ballot',
        'snapshot',
        'entries',
        'commit_index',
        'damage',
        'torn',
        'fresh',
    )
    ballot: Ballot
    snapshot: Snapshot | None
    entries: list[Entry]
    commit_index: int
    damage: str
    torn: bool
    fresh: bool


class LogStorage:
    """Blocking access to the files; every method returns once synced.

    Parameters
    ----------
    disk : Disk
        The folder.
    """

    __slots__ = ('_disk', '_marks', '_segments')

    def __init__(self, disk: Disk) -> None:
        """Initialise without reading the files."""
        self._disk = disk
        self._segments = SegmentLog(disk)
        self._marks = CommitMarks(disk)

    def load(self) -> Loaded:
        """Read and repair the files.

        Explanation
        ===========

        All files are made durable first: a process that was killed leaves
        writes without a sync, which a later power loss could take back. A
        torn tail is cut. On any other damage the instance is first recorded
        as untrusted, and only then the files are repaired, so that a power
        loss in between cannot hide the damage.
        """
        self._sync()
        loaded = self._read()
        if loaded.damage:
            self._mark_untrusted(loaded)
        if loaded.damage or loaded.torn:
            self._segments.clean()
        if not loaded.entries:
            self._segments.truncate(0)
        return loaded

    def save_ballot(self, ballot: Ballot) -> None:
        """Replace term, vote and trust."""
        save_ballot(self._disk, ballot)

    def append(self, entries: list[Entry]) -> None:
        """Append entries after the last one."""
        self._segments.append(entries)

    def truncate(self, from_index: int) -> None:
        """Remove an entry and all after it."""
        self._segments.truncate(from_index)

    def mark_commit(self, index: int) -> None:
        """Record that the entries up to an index are committed."""
        self._marks.save(index)

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the snapshot without removing entries."""
        save_snapshot(self._disk, snapshot)
        self._segments.start_segment()

    def drop_through(self, index: int) -> None:
        """Remove files whose entries all are at or before an index."""
        self._segments.drop_through(index)

    def install(self, snapshot: Snapshot) -> None:
        """Replace the snapshot and remove all entries.

        Once the snapshot is durable the call succeeds: entries that the disk
        does not remove now are removed before the next append.
        """
        save_snapshot(self._disk, snapshot)
        with suppress(OSError):
            self._segments.truncate(0)

    def _sync(self) -> None:
        for name in self._disk.names():
            self._disk.sync(name)
        self._disk.sync_folder()

    def _read(self) -> Loaded:
        # A power loss during the first write leaves only temporary files.
        fresh = all(
            name.endswith(TEMPORARY_SUFFIX) for name in self._disk.names()
        )
        loaded = Loaded(
            ballot=load_ballot(self._disk),
            snapshot=load_snapshot(self._disk),
            entries=self._segments.load(),
            commit_index=self._marks.load(),
            damage='',
            torn=self._segments.state is FileState.TORN,
            fresh=fresh,
        )
        loaded.damage = self._find_damage(loaded)
        _reconcile(loaded)
        return loaded

    def _find_damage(self, loaded: Loaded) -> str:
        if self._segments.state is FileState.DAMAGED:
            return 'an entry in the middle of the log fails its checksum'
        if loaded.snapshot is None and has_snapshot(self._disk):
            return 'the snapshot fails its checksum'
        if loaded.ballot.term == 0 and not loaded.fresh:
            return 'the ballot is missing or fails its checksum'
        if _first_index(loaded) > _snapshot_index(loaded) + 1:
            return 'entries after the snapshot are missing'
        if loaded.commit_index > _last_index(loaded):
            return 'entries that were committed are missing'
        return ''

    def _mark_untrusted(self, loaded: Loaded) -> None:
        loaded.ballot = after_damage(loaded.ballot)
        save_ballot(self._disk, loaded.ballot)
        self._marks.reset(loaded.commit_index)
        if loaded.snapshot is None:
            remove_snapshot(self._disk)


def _reconcile(loaded: Loaded) -> None:
    """Drop entries not contiguous with the snapshot; bound the commit index.

    A power loss between the installation of a snapshot and the removal of
    the entries that it replaces leaves entries older than the snapshot.
    """
    index = _snapshot_index(loaded)
    if loaded.entries and not _is_contiguous(loaded.entries, loaded.snapshot):
        loaded.entries = []
    loaded.commit_index = max(
        index,
        min(loaded.commit_index, _last_index(loaded)),
    )
    last_term = loaded.entries[-1].term if loaded.entries else 0
    loaded.ballot.term = max(
        loaded.ballot.term,
        last_term,
        loaded.snapshot.term if loaded.snapshot else 0,
    )


def _snapshot_index(loaded: Loaded) -> int:
    return loaded.snapshot.index if loaded.snapshot else 0


def _first_index(loaded: Loaded) -> int:
    return loaded.entries[0].index if loaded.entries else 0


def _last_index(loaded: Loaded) -> int:
    # An installation that was interrupted leaves entries that all are before
    # the snapshot.
    last_entry_index = loaded.entries[-1].index if loaded.entries else 0
    return max(last_entry_index, _snapshot_index(loaded))


def _is_contiguous(entries: list[Entry], snapshot: Snapshot | None) -> bool:
    first_index = entries[0].index
    if snapshot is None:
        return first_index == 1
    if not first_index <= snapshot.index + 1 <= entries[-1].index + 1:
        return False
    if first_index == snapshot.index + 1:
        return True
    return entries[snapshot.index - first_index].term == snapshot.term

"""Entries of the log in memory."""

from mustardspur_agreement.entries import Entry
from mustardspur_agreement.snapshots import Snapshot


class EntryList:
    """Consecutive entries of the log and the newest snapshot.

    Parameters
    ----------
    entries : list of Entry
        The entries.
    snapshot : Snapshot or None
        The newest snapshot; the entries may begin before its index.
    """

    __slots__ = ('_entries', 'snapshot')

    def __init__(
        self,
        entries: list[Entry],
        snapshot: Snapshot | None,
    ) -> None:
        """Initialise from the loaded entries and snapshot."""
        self._entries = entries
        self.snapshot = snapshot

    @property
    def snapshot_index(self) -> int:
        """Index of the newest snapshot, 0 without one."""
        return self.snapshot.index if self.snapshot else 0

    @property
    def first_index(self) -> int:
        """Index of the first entry, or of the next one if there is none."""
        if self._entries:
            return self._entries[0].index
        return self.snapshot_index + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry or of the snapshot, 0 for an empty log."""
        return self.first_index + len(self._entries) - 1

    @property
    def last_term(self) -> int:
        """Term of the last entry, 0 for an empty log."""
        return self.term_at(self.last_index) or 0

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None if it is unknown."""
        if self.first_index <= index <= self.last_index:
            return self._entries[index - self.first_index].term
        if index == self.snapshot_index:
            return self.snapshot.term if self.snapshot else 0
        return None

    def between(self, first: int, last: int) -> list[Entry]:
        """Return the entries from one index through another."""
        start = max(first - self.first_index, 0)
        end = max(last - self.first_index + 1, 0)
        return self._entries[start:end]

    def extend(self, entries: list[Entry]) -> None:
        """Append entries that follow the last one."""
        self._entries.extend(entries)

    def truncate(self, from_index: int) -> None:
        """Remove an entry and all after it."""
        retained = max(from_index - self.first_index, 0)
        self._entries = self._entries[:retained]

    def drop_before(self, index: int) -> None:
        """Remove entries before an index that the snapshot includes."""
        dropped = max(index - self.first_index, 0)
        self._entries = self._entries[dropped:]

    def reset(self, snapshot: Snapshot) -> None:
        """Replace everything by a snapshot."""
        self.snapshot = snapshot
        self._entries = []

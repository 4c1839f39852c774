"""Durable state of the local replica."""

from collections.abc import Callable

from mustardspur_core.wire import MalformedFrame

from mustardspur_agreement.ballot import Ballot
from mustardspur_agreement.context import Context
from mustardspur_agreement.entries import Entry, EntryKind
from mustardspur_agreement.entry_list import EntryList
from mustardspur_agreement.log_rules import (
    conflicts_with_committed,
    new_entries,
)
from mustardspur_agreement.membership import Membership, voters_at
from mustardspur_agreement.snapshots import Snapshot
from mustardspur_agreement.storage import Loaded, LogStorage


class CommittedEntryConflict(MalformedFrame):
    """A sender's entry differs from the committed one at its index.

    The sender or this instance has lost a committed entry.
    """


class Journal:
    """Ballot and entries, in memory and on disk.

    Explanation
    ===========

    The state in memory is always durable, since every method writes to disk
    first. The caller holds the replica's lock, so writes do not interleave.

    Parameters
    ----------
    context : Context
        Settings and environment of the replica.
    storage : LogStorage
        Files of the replica.
    loaded : Loaded
        State loaded from the files.
    """

    __slots__ = (
        '_context',
        '_last_conflict',
        'ballot',
        'entries',
        'membership',
        'storage',
    )

    def __init__(
        self,
        context: Context,
        storage: LogStorage,
        loaded: Loaded,
    ) -> None:
        """Initialise from the loaded state."""
        self._context = context
        self._last_conflict = (0, 0)
        self.storage = storage
        self.ballot = loaded.ballot
        self.entries = EntryList(loaded.entries, loaded.snapshot)
        self.membership = self._current_membership()

    async def blocking(self, function: Callable[[], None]) -> None:
        """Run a blocking file operation outside the event loop."""
        await self._context.environment.offload(function)

    async def record_ballot(self, ballot: Ballot) -> None:
        """Replace term, vote and trust, durably."""
        await self.blocking(lambda: self.storage.save_ballot(ballot))
        self.ballot = ballot

    async def append(self, entries: list[Entry]) -> None:
        """Append entries after the last one, durably."""
        await self.blocking(lambda: self.storage.append(entries))
        self.entries.extend(entries)
        if any(entry.kind == EntryKind.VOTERS for entry in entries):
            self.membership = self._current_membership()
            names = sorted(self.membership.voters_by_id)
            self._context.report('voters_changed', voters=names)

    async def replace_from(
        self,
        entries: list[Entry],
        commit_index: int,
    ) -> None:
        """Append entries, overwriting conflicting uncommitted ones.

        Entries that match are not changed, so that a delayed or repeated
        request does not remove entries that a later request appended.

        Raises
        ------
        CommittedEntryConflict
            If an entry conflicts with a committed one; nothing is changed.
        """
        for entry in entries:
            self.check_committed(entry.index, entry.term, commit_index)
        missing = new_entries(self.entries, commit_index, entries)
        if missing:
            await self._truncate(missing[0].index)
            await self.append(missing)

    def check_committed(self, index: int, term: int, commit_index: int) -> None:
        """Check a sender's term of an entry against the committed entry.

        Raises
        ------
        CommittedEntryConflict
            If the terms differ; each conflict is reported once.
        """
        if not conflicts_with_committed(
            self.entries, commit_index, index, term
        ):
            return
        own_term = self.entries.term_at(index)
        if self._last_conflict != (index, term):
            self._last_conflict = (index, term)
            self._context.report(
                'committed_entry_conflict',
                index=index,
                own_term=own_term,
                sent_term=term,
            )
        raise CommittedEntryConflict(
            'fields',
            f'committed entry {index} has term {own_term}, not {term}',
        )

    async def install(self, snapshot: Snapshot) -> None:
        """Replace all entries by a snapshot, durably."""
        await self.blocking(lambda: self.storage.install(snapshot))
        self.entries.reset(snapshot)
        self.membership = self._current_membership()

    async def _truncate(self, from_index: int) -> None:
        if from_index <= self.entries.last_index:
            # A truncation that fails may have taken effect in part, and what
            # is in memory is acknowledged.
            self.entries.truncate(from_index)
            self.membership = self._current_membership()
            await self.blocking(lambda: self.storage.truncate(from_index))

    def _current_membership(self) -> Membership:
        return voters_at(
            self.entries,
            self.entries.last_index,
            self._context.settings,
        )

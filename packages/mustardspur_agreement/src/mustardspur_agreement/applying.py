"""Applying committed entries and taking snapshots."""

import asyncio

from expression import Ok

from mustardspur_agreement.entries import Entry, EntryKind
from mustardspur_agreement.leadership import Leadership, answer
from mustardspur_agreement.membership import voters_at
from mustardspur_agreement.ports import Committed
from mustardspur_agreement.replica import Replica
from mustardspur_agreement.snapshots import Snapshot

# A quarter of the snapshot interval is retained before the snapshot, so that
# a slightly lagging peer receives entries instead of the whole state.
_RETAINED_DIVISOR = 4
# Pause after a failed write of the commit mark, in election timeouts.
_RETRY_PAUSE_ELECTIONS = 2


class Applier:
    """Applies committed entries to the state machine and takes snapshots.

    Parameters
    ----------
    replica : Replica
        State of the local replica.
    """

    __slots__ = ('_replica',)

    def __init__(self, replica: Replica) -> None:
        """Initialise with the replica."""
        self._replica = replica

    async def run(self) -> None:
        """Apply entries until cancelled."""
        replica = self._replica
        while True:
            await replica.changed.wait_for(self._has_work)
            try:
                await self._save_and_apply(replica.commit_index)
            except OSError as error:
                replica.context.report('commit_mark_refused', reason=str(error))
                await asyncio.sleep(replica.election_s * _RETRY_PAUSE_ELECTIONS)
                continue
            await self._snapshot_if_due()

    def apply_through(self, index: int) -> None:
        """Apply entries up to an index that is durably marked as committed."""
        replica = self._replica
        first_index = replica.applied_index + 1
        for entry in replica.entries.between(first_index, index):
            replica.applied_index = entry.index
            self._apply(entry)
        replica.context.metrics.gauge(
            'agreement.applied_index',
            replica.applied_index,
        )
        replica.changed.notify()

    def _has_work(self) -> bool:
        return self._replica.commit_index > self._replica.applied_index

    async def _save_and_apply(self, index: int) -> None:
        replica = self._replica
        # The commit mark is written before the entries are applied. The state
        # that they produce may be sent to nodes, so a restarted instance must
        # reach it again from its files, even without a quorum.
        await replica.journal.blocking(
            lambda: replica.journal.storage.mark_commit(index)
        )
        self.apply_through(index)

    def _apply(self, entry: Entry) -> None:
        replica = self._replica
        machine_answer: object = None
        if entry.kind == EntryKind.DATA:
            machine = replica.context.machine
            machine_answer = machine.apply(entry.index, entry.content)
        leadership = replica.leadership
        if leadership and leadership.term == entry.term:
            proposal = leadership.waiting_by_index.pop(entry.index, None)
            if proposal is not None:
                committed = Committed(
                    index=entry.index,
                    term=entry.term,
                    holders=self._holders(leadership, entry.index),
                    answer=machine_answer,
                )
                answer(proposal, Ok(committed))

    def _holders(self, leadership: Leadership, index: int) -> list[str]:
        match_by_id = leadership.match_by_id()
        match_by_id[self._replica.own_id] = index
        voters = self._replica.membership.voters_by_id
        return sorted(
            name for name in voters if match_by_id.get(name, 0) >= index
        )

    async def _snapshot_if_due(self) -> None:
        replica = self._replica
        new_entries = replica.applied_index - replica.entries.snapshot_index
        if new_entries < replica.context.environment.snapshot_entries:
            return
        async with replica.lock:
            try:
                await self._snapshot()
            except OSError as error:
                replica.context.report('snapshot_refused', reason=str(error))

    async def _snapshot(self) -> None:
        replica = self._replica
        index = replica.applied_index
        membership = voters_at(
            replica.entries,
            index,
            replica.context.settings,
        )
        snapshot = Snapshot(
            index=index,
            term=replica.entries.term_at(index) or 0,
            voters=list(membership.voters_by_id.values()),
            content=replica.context.machine.snapshot(),
        )
        await replica.journal.blocking(
            lambda: replica.journal.storage.save_snapshot(snapshot)
        )
        replica.entries.snapshot = snapshot
        await self._compact(index)
        replica.context.report('snapshot_taken', index=index)

    async def _compact(self, index: int) -> None:
        replica = self._replica
        limit = replica.context.environment.snapshot_entries
        dropped_index = index - limit // _RETAINED_DIVISOR
        replica.entries.drop_before(dropped_index + 1)
        await replica.journal.blocking(
            lambda: replica.journal.storage.drop_through(dropped_index),
        )

"""Taking entries and snapshots from the leader."""

import asyncio

from mustardspur_core.wire import MalformedFrame

from mustardspur_agreement.entries import decompress, unpack_entries
from mustardspur_agreement.messages import (
    AppendAnswer,
    AppendRequest,
    SnapshotPart,
)
from mustardspur_agreement.replica import Replica
from mustardspur_agreement.snapshots import Snapshot, unpack_snapshot


class Assembly:
    """Parts of a snapshot, in any order and possibly repeated."""

    __slots__ = ('_key', '_parts_by_offset')

    def __init__(self) -> None:
        """Start without parts."""
        self._key = (0, 0, 0)
        self._parts_by_offset: dict[int, bytes] = {}

    def add(self, part: SnapshotPart) -> Snapshot | None:
        """Add a part.

        Returns
        -------
        Snapshot or None
            The snapshot, once all parts are there.

        Raises
        ------
        MalformedFrame
            If the parts make no snapshot.
        """
        key = (part.term, part.index, part.total)
        if key != self._key:
            self._key = key
            self._parts_by_offset = {}
        self._parts_by_offset[part.offset] = part.content
        if sum(map(len, self._parts_by_offset.values())) < part.total:
            return None
        offsets = sorted(self._parts_by_offset)
        packed = b''.join(self._parts_by_offset[offset] for offset in offsets)
        self._parts_by_offset = {}
        try:
            return unpack_snapshot(
                decompress(packed) if part.compressed else packed
            )
        except ValueError as error:
            raise MalformedFrame('fields', str(error)) from error


class Receiver:
    """The instance's side of a leader's requests.

    Parameters
    ----------
    replica : Replica
        The copy of the log.
    """

    __slots__ = ('_assembly', '_replica')

    def __init__(self, replica: Replica) -> None:
        """Start without parts of a snapshot."""
        self._replica = replica
        self._assembly = Assembly()

    async def answer_append(self, request: AppendRequest) -> AppendAnswer:
        """Make the leader's entries durable, then acknowledge them."""
        async with self._replica.lock:
            try:
                if not await self._heed(request.term, request.leader):
                    return self._refusal()
                return await self._take(request)
            except OSError as error:
                self._report(error)
                return self._refusal()

    async def answer_part(self, part: SnapshotPart) -> AppendAnswer:
        """Keep a part; the last one installs the snapshot."""
        async with self._replica.lock:
            try:
                if not await self._heed(part.term, part.leader):
                    return self._refusal()
                return await self._take_part(part)
            except OSError as error:
                self._report(error)
                return self._refusal()

    async def _heed(self, term: int, leader: str) -> bool:
        replica = self._replica
        if term < replica.ballot.term:
            return False
        await replica.adopt_term(term)
        replica.contact.heard_s = asyncio.get_running_loop().time()
        if replica.leader != leader:
            replica.leader = leader
            replica.context.report('leader_known', term=term, leader=leader)
            replica.changed.notify()
        return True

    async def _take(self, request: AppendRequest) -> AppendAnswer:
        replica = self._replica
        prev_index = request.prev_index
        if not self._joins(request):
            last_possible = min(prev_index - 1, replica.entries.last_index)
            return self._answer(
                accepted=False,
                index=max(last_possible, replica.commit_index),
            )
        batch = unpack_entries(request.packed, compressed=request.compressed)
        await replica.replace_from(batch)
        matched = batch[-1].index if batch else prev_index
        self._note_match(request.term, matched)
        replica.note_commit(min(request.commit_index, matched))
        return self._answer(accepted=True, index=matched)

    def _joins(self, request: AppendRequest) -> bool:
        # Entries up to the commit index are equal on all instances.
        if request.prev_index <= self._replica.commit_index:
            return True
        known = self._replica.entries.term_at(request.prev_index)
        return known == request.prev_term

    async def _take_part(self, part: SnapshotPart) -> AppendAnswer:
        replica = self._replica
        snapshot = self._assembly.add(part)
        if snapshot is not None:
            await take_snapshot(replica, snapshot)
            self._note_match(part.term, snapshot.index)
        return self._answer(accepted=True, index=part.index)

    def _note_match(self, term: int, index: int) -> None:
        contact = self._replica.contact
        if term != contact.matched_term:
            contact.matched_term = term
            contact.matched_index = 0
        contact.matched_index = max(contact.matched_index, index)
        self._replica.changed.notify()

    def _refusal(self) -> AppendAnswer:
        return self._answer(
            accepted=False,
            index=self._replica.entries.last_index,
        )

    def _answer(self, *, accepted: bool, index: int) -> AppendAnswer:
        return AppendAnswer(
            term=self._replica.ballot.term,
            accepted=accepted,
            index=index,
            trusted=self._replica.ballot.trusted,
        )

    def _report(self, error: OSError) -> None:
        self._replica.context.report('append_refused', reason=str(error))


async def take_snapshot(replica: Replica, snapshot: Snapshot) -> None:
    """Install a snapshot unless the log has its last entry already."""
    if snapshot.index <= replica.commit_index:
        return
    if replica.entries.term_at(snapshot.index) == snapshot.term:
        replica.note_commit(snapshot.index)
    else:
        await replica.install(snapshot)

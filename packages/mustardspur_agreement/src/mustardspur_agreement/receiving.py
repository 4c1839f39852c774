"""Entries and snapshots received from the leader."""

import asyncio

from mustardspur_core.wire import MalformedFrame

from mustardspur_agreement.ballot_rules import after_election
from mustardspur_agreement.entries import decompress, unpack_entries
from mustardspur_agreement.journal import CommittedEntryConflict
from mustardspur_agreement.log_rules import (
    last_possible_match,
    matched_index,
    matches_log,
)
from mustardspur_agreement.messages import (
    AppendAnswer,
    AppendRequest,
    SnapshotChunk,
)
from mustardspur_agreement.replica import Replica
from mustardspur_agreement.snapshots import Snapshot, unpack_snapshot
from mustardspur_agreement.voting_rules import (
    accepts_leader,
    is_trusted_by_election,
)


class SnapshotAssembly:
    """Assembles a snapshot from chunks in any order, with duplicates."""

    __slots__ = ('_chunks_by_offset', '_key')

    def __init__(self) -> None:
        """Initialise without chunks."""
        self._key = (0, 0, 0)
        self._chunks_by_offset: dict[int, bytes] = {}

    def add(self, chunk: SnapshotChunk) -> Snapshot | None:
        """Add a chunk.

        Returns
        -------
        Snapshot or None
            The snapshot once it is complete, otherwise None.

        Raises
        ------
        MalformedFrame
            If the chunks do not form a valid snapshot.
        """
        key = (chunk.term, chunk.index, chunk.total)
        if key != self._key:
            self._key = key
            self._chunks_by_offset = {}
        self._chunks_by_offset[chunk.offset] = chunk.content
        if sum(map(len, self._chunks_by_offset.values())) < chunk.total:
            return None
        offsets = sorted(self._chunks_by_offset)
        packed = b''.join(self._chunks_by_offset[offset] for offset in offsets)
        self._chunks_by_offset = {}
        try:
            return unpack_snapshot(
                decompress(packed) if chunk.compressed else packed
            )
        except ValueError as error:
            raise MalformedFrame('fields', str(error)) from error


class Receiver:
    """Handles append requests and snapshot chunks of a leader.

    Parameters
    ----------
    replica : Replica
        State of the local replica.
    """

    __slots__ = ('_assembly', '_replica')

    def __init__(self, replica: Replica) -> None:
        """Initialise without snapshot chunks."""
        self._replica = replica
        self._assembly = SnapshotAssembly()

    async def answer_append(self, request: AppendRequest) -> AppendAnswer:
        """Store the leader's entries durably, then acknowledge them."""
        async with self._replica.lock:
            try:
                if not await self._accept_leader(request.term, request.leader):
                    return self._refusal()
                return await self._append(request)
            except CommittedEntryConflict:
                return self._conflict()
            except OSError as error:
                self._report_disk_error(error)
                return self._refusal()

    async def answer_chunk(self, chunk: SnapshotChunk) -> AppendAnswer:
        """Store a snapshot chunk; the last one installs the snapshot."""
        async with self._replica.lock:
            try:
                if not await self._accept_leader(chunk.term, chunk.leader):
                    return self._refusal()
                return await self._receive_chunk(chunk)
            except OSError as error:
                self._report_disk_error(error)
                return self._refusal()

    async def _accept_leader(self, term: int, leader: str) -> bool:
        replica = self._replica
        if not accepts_leader(replica.ballot, term):
            return False
        await replica.adopt_term(term)
        replica.contact.leader_s = asyncio.get_running_loop().time()
        if replica.leader != leader:
            replica.leader = leader
            replica.context.report('leader_known', term=term, leader=leader)
            replica.changed.notify()
        return True

    async def _append(self, request: AppendRequest) -> AppendAnswer:
        replica = self._replica
        replica.journal.check_committed(
            request.prev_index,
            request.prev_term,
            replica.commit_index,
        )
        if not matches_log(replica.entries, replica.commit_index, request):
            return self._answer(
                accepted=False,
                index=last_possible_match(
                    replica.entries, replica.commit_index, request
                ),
            )
        batch = unpack_entries(request.packed, compressed=request.compressed)
        await replica.replace_from(batch)
        matched = matched_index(request, batch)
        await self._trust_after_election(request, matched)
        replica.advance_commit_index(min(request.commit_index, matched))
        replica.changed.notify()
        return self._answer(accepted=True, index=matched)

    async def _receive_chunk(self, chunk: SnapshotChunk) -> AppendAnswer:
        replica = self._replica
        snapshot = self._assembly.add(chunk)
        if snapshot is not None:
            await install_snapshot(replica, snapshot)
        return self._answer(accepted=True, index=chunk.index)

    async def _trust_after_election(
        self,
        request: AppendRequest,
        matched: int,
    ) -> None:
        replica = self._replica
        becomes_trusted = is_trusted_by_election(
            replica.ballot,
            replica.unanimous_term,
            request.leader,
            request.term,
            replica.entries.term_at(matched),
        )
        if becomes_trusted:
            await replica.record_ballot(after_election(replica.ballot))

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

    def _conflict(self) -> AppendAnswer:
        # Neither the entries nor the contact count for this leader.
        return AppendAnswer(
            term=self._replica.ballot.term,
            accepted=False,
            index=0,
            trusted=False,
        )

    def _report_disk_error(self, error: OSError) -> None:
        self._replica.context.report('append_refused', reason=str(error))


async def install_snapshot(replica: Replica, snapshot: Snapshot) -> None:
    """Install a snapshot unless the log contains its last entry."""
    if snapshot.index <= replica.commit_index:
        return
    if replica.entries.term_at(snapshot.index) == snapshot.term:
        replica.advance_commit_index(snapshot.index)
    else:
        await replica.install(snapshot)

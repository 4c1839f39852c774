"""Replication of the leader's log to one peer."""

import asyncio
from contextlib import suppress
from functools import partial
from typing import Final

from mustardspur_core.record import Record
from mustardspur_core.units import BYTES_PER_MIB

from mustardspur_agreement.entries import batch_of, compress, pack_entries
from mustardspur_agreement.leadership import Leadership, Progress
from mustardspur_agreement.links import PeerLink
from mustardspur_agreement.log_rules import committed_index
from mustardspur_agreement.messages import (
    AppendAnswer,
    AppendRequest,
    SnapshotChunk,
)
from mustardspur_agreement.replica import Replica, find_peer
from mustardspur_agreement.snapshots import Snapshot, pack_snapshot

SNAPSHOT_CHUNK_BYTES: Final = BYTES_PER_MIB
HEARTBEATS_PER_ELECTION: Final = 4
# Longer than the minimum election timeout, since a peer syncs its disk before
# it answers.
CALL_TIMEOUT_ELECTIONS: Final = 2
# The pause between two entries for the refill of a peer doubles this often at
# most, so that a peer that cannot be refilled does not fill the log.
_REFILL_PAUSE_DOUBLINGS: Final = 4


class Replication:
    """Sends entries, snapshots and heartbeats to one peer.

    Parameters
    ----------
    replica : Replica
        State of the local replica.
    link : PeerLink
        The connection to the peer.
    peer_id : str
        Identifier of the peer.
    """

    __slots__ = ('_link', '_peer_id', '_replica')

    def __init__(
        self,
        replica: Replica,
        link: PeerLink,
        peer_id: str,
    ) -> None:
        """Initialise for one peer."""
        self._replica = replica
        self._link = link
        self._peer_id = peer_id

    async def run(self) -> None:
        """Replicate to the peer while this instance leads."""
        changed = self._replica.changed
        heartbeat_s = self._replica.election_s / HEARTBEATS_PER_ELECTION
        while True:
            await changed.wait_for(self._should_replicate)
            leadership = self._replica.leadership
            if leadership is None:
                continue
            progress = leadership.progress(self._peer_id)
            sent_round = leadership.round
            if await self._exchange_within_memory(leadership, progress):
                await changed.wait_until(
                    partial(
                        self._has_update,
                        leadership,
                        progress,
                        sent_round,
                    ),
                    heartbeat_s,
                )
            else:
                await asyncio.sleep(heartbeat_s)

    def _should_replicate(self) -> bool:
        leadership = self._replica.leadership
        if leadership is None or self._peer_id == self._replica.own_id:
            return False
        voters = self._replica.membership.voters_by_id
        return self._peer_id in voters or (
            self._peer_id in leadership.learners_by_id
        )

    def _has_update(
        self,
        leadership: Leadership,
        progress: Progress,
        sent_round: int,
    ) -> bool:
        replica = self._replica
        return (
            replica.leadership is not leadership
            or replica.entries.last_index >= progress.next_index
            or replica.commit_index > progress.sent_commit
            or leadership.round > sent_round
        )

    async def _exchange_within_memory(
        self,
        leadership: Leadership,
        progress: Progress,
    ) -> bool:
        """Exchange once; without memory for it, fail as without an answer.

        A leader that sends to its peers only reads its log.
        """
        try:
            return await self._exchange(leadership, progress)
        except MemoryError:
            # Without memory the report fails as well.
            with suppress(MemoryError):
                self._replica.context.report(
                    'replication_without_memory', peer=self._peer_id
                )
            await asyncio.sleep(self._replica.election_s)
            return False

    async def _exchange(
        self,
        leadership: Leadership,
        progress: Progress,
    ) -> bool:
        entries = self._replica.entries
        if entries.term_at(progress.next_index - 1) is None:
            if entries.snapshot is not None:
                return await self._send_snapshot(
                    leadership,
                    progress,
                    entries.snapshot,
                )
        request = self._append_request(leadership, progress)
        reply = await self._call(leadership, progress, request)
        if reply is None:
            return False
        progress.sent_commit = request.commit_index
        if not reply.accepted:
            # An index below the match index means that the peer lost entries
            # that it had acknowledged.
            progress.match_index = min(progress.match_index, reply.index)
            has_moved_back = reply.index + 1 < progress.next_index
            progress.next_index = min(reply.index + 1, progress.next_index)
            return has_moved_back
        self._advance(leadership, progress, reply.index)
        return True

    def _append_request(
        self,
        leadership: Leadership,
        progress: Progress,
    ) -> AppendRequest:
        entries = self._replica.entries
        prev_index = progress.next_index - 1
        batch = batch_of(entries.between(prev_index + 1, entries.last_index))
        compressed = bool(batch) and self._crosses_regions()
        return AppendRequest(
            term=leadership.term,
            leader=self._replica.own_id,
            prev_index=prev_index,
            prev_term=entries.term_at(prev_index) or 0,
            commit_index=self._replica.commit_index,
            packed=pack_entries(batch, compressed=compressed),
            compressed=compressed,
        )

    async def _call(
        self,
        leadership: Leadership,
        progress: Progress,
        request: Record,
    ) -> AppendAnswer | None:
        sent_round = leadership.round
        sent_s = asyncio.get_running_loop().time()
        reply = await self._link.call(
            request,
            self._replica.election_s * CALL_TIMEOUT_ELECTIONS,
        )
        if not isinstance(reply, AppendAnswer):
            return None
        if reply.term > leadership.term:
            await self._adopt_term(reply.term)
            return None
        progress.heard = True
        progress.trusted = reply.trusted
        if reply.trusted:
            progress.refill_entries = 0
            progress.acked_s = sent_s
            progress.acked_round = max(progress.acked_round, sent_round)
        elif self._replica.leadership is leadership:
            self._append_for_refill(leadership, progress)
        self._replica.changed.notify()
        return reply

    def _append_for_refill(
        self,
        leadership: Leadership,
        progress: Progress,
    ) -> None:
        """Append an entry, without which an idle log refills no peer."""
        replica = self._replica
        if (
            leadership.queue
            or replica.commit_index < replica.entries.last_index
        ):
            return
        pause_s = replica.election_s / HEARTBEATS_PER_ELECTION
        pause_s *= 2 ** min(progress.refill_entries, _REFILL_PAUSE_DOUBLINGS)
        now_s = asyncio.get_running_loop().time()
        if now_s - progress.refill_entry_s >= pause_s:
            progress.refill_entry_s = now_s
            progress.refill_entries += 1
            leadership.queue_no_op()

    async def _adopt_term(self, term: int) -> None:
        replica = self._replica
        async with replica.lock:
            try:
                await replica.adopt_term(term)
            except OSError as error:
                replica.context.report('term_not_recorded', reason=str(error))

    def _advance(
        self,
        leadership: Leadership,
        progress: Progress,
        index: int,
    ) -> None:
        progress.match_index = max(progress.match_index, index)
        progress.next_index = max(progress.next_index, index + 1)
        if self._replica.leadership is leadership:
            advance_commit(self._replica, leadership)
        self._replica.changed.notify()

    async def _send_snapshot(
        self,
        leadership: Leadership,
        progress: Progress,
        snapshot: Snapshot,
    ) -> bool:
        compressed = self._crosses_regions()
        chunks = snapshot_chunks(
            snapshot,
            compressed=compressed,
            term=leadership.term,
            leader=self._replica.own_id,
        )
        while chunks:
            reply = await self._call(leadership, progress, chunks.pop(0))
            if reply is None or not reply.accepted:
                return False
        self._advance(leadership, progress, snapshot.index)
        return True

    def _crosses_regions(self) -> bool:
        peer = find_peer(self._replica, self._peer_id)
        region = self._replica.context.settings.region
        return peer is not None and peer.region != region


def advance_commit(replica: Replica, leadership: Leadership) -> None:
    """Commit the highest index on a quorum if its entry is of this term."""
    index_by_id = leadership.match_by_id()
    index_by_id[replica.own_id] = replica.entries.last_index
    index = committed_index(
        replica.membership,
        replica.entries,
        index_by_id,
        leadership.term,
    )
    replica.advance_commit_index(index)


def snapshot_chunks(
    snapshot: Snapshot,
    *,
    compressed: bool,
    term: int,
    leader: str,
) -> list[SnapshotChunk]:
    """Split a snapshot into messages that fit into a frame."""
    packed = pack_snapshot(snapshot)
    if compressed:
        packed = compress(packed)
    return [
        SnapshotChunk(
            term=term,
            leader=leader,
            index=snapshot.index,
            offset=offset,
            total=len(packed),
            content=packed[offset : offset + SNAPSHOT_CHUNK_BYTES],
            compressed=compressed,
        )
        for offset in range(0, len(packed), SNAPSHOT_CHUNK_BYTES)
    ]

"""The stream of committed entries from an upstream instance."""

import asyncio
from typing import Final

from mustardspur_core.settings import Peer
from mustardspur_core.wire import MalformedFrame

from mustardspur_agreement.entries import unpack_entries
from mustardspur_agreement.links import CONNECTION_ERRORS
from mustardspur_agreement.messages import (
    Follow,
    FollowEntries,
    PeerGreeting,
    SnapshotChunk,
)
from mustardspur_agreement.ports import Channel
from mustardspur_agreement.receiving import SnapshotAssembly, install_snapshot
from mustardspur_agreement.replica import Replica
from mustardspur_agreement.upstreams import upstreams

# An instance follows an upstream after this number of election timeouts without
# a request of a leader.
_LEADER_TIMEOUT_ELECTIONS: Final = 4
# An upstream other than the preferred one is followed for this multiple of
# ``silence_s``, then the preferred one is tried again.
_FALLBACK_SILENCES: Final = 10


class Following:
    """Follows the committed entries of an upstream instance.

    Explanation
    ===========

    A learner always follows. A voter follows while no leader sends it
    entries, since it may have been removed without having received that
    change.

    Parameters
    ----------
    replica : Replica
        State of the local replica.
    """

    __slots__ = ('_assembly', '_replica', '_upstream_rank', 'upstream')

    def __init__(self, replica: Replica) -> None:
        """Initialise without an upstream."""
        self._replica = replica
        self._assembly = SnapshotAssembly()
        self._upstream_rank = 0
        self.upstream: str | None = None

    async def run(self) -> None:
        """Follow while no leader is in contact, until cancelled."""
        replica = self._replica
        while True:
            candidates = upstreams(
                replica.context.settings,
                replica.membership.voters_by_id,
                replica.leader,
            )
            if candidates and self._should_follow():
                peer = candidates[self._upstream_rank % len(candidates)]
                await self._follow(peer)
            await asyncio.sleep(replica.election_s)

    async def receive(self, body: object) -> None:
        """Store the entries or snapshot chunk of a frame durably.

        Raises
        ------
        MalformedFrame
            If the entries are not contiguous with the log.
        """
        replica = self._replica
        async with replica.lock:
            if replica.leadership is not None:
                return
            if isinstance(body, FollowEntries):
                await self._receive_entries(body)
            elif isinstance(body, SnapshotChunk):
                snapshot = self._assembly.add(body)
                if snapshot is not None:
                    await replica.adopt_term(snapshot.term)
                    await install_snapshot(replica, snapshot)

    def _should_follow(self) -> bool:
        replica = self._replica
        timeout_s = _LEADER_TIMEOUT_ELECTIONS * replica.election_s
        since_contact_s = _now() - replica.contact.leader_s
        return replica.leadership is None and since_contact_s > timeout_s

    async def _follow(self, peer: Peer) -> None:
        settings = self._replica.context.settings
        self.upstream = peer.id
        try:
            async with self._replica.context.environment.dial(
                peer.stream,
                settings.intervals.election_s,
            ) as channel:
                await self._receive_stream(channel)
        except CONNECTION_ERRORS:
            self._upstream_rank += 1
        finally:
            self.upstream = None

    async def _receive_stream(self, channel: Channel) -> None:
        settings = self._replica.context.settings
        channel.enqueue(
            PeerGreeting(instance=settings.id, region=settings.region),
        )
        channel.enqueue(Follow(after_index=self._replica.commit_index))
        silence_s = settings.intervals.silence_s
        started_s = _now()
        while self._should_follow():
            async with asyncio.timeout(silence_s):
                frame = await channel.receive()
            await self.receive(frame.body)
            elapsed_s = _now() - started_s
            if (
                self._upstream_rank
                and elapsed_s > silence_s * _FALLBACK_SILENCES
            ):
                self._upstream_rank = 0
                return
            if self._is_stale(elapsed_s):
                self._upstream_rank += 1
                return

    def _is_stale(self, elapsed_s: float) -> bool:
        replica = self._replica
        silence_s = replica.context.settings.intervals.silence_s
        age_s = replica.contact.age_s(_now())
        return elapsed_s > silence_s and age_s > silence_s

    async def _receive_entries(self, body: FollowEntries) -> None:
        replica = self._replica
        if body.prev_index > replica.commit_index:
            raise MalformedFrame(
                'order',
                f'entries follow index {body.prev_index}, expected at most '
                f'{replica.commit_index}',
            )
        batch = unpack_entries(body.packed, compressed=body.compressed)
        if batch:
            await replica.adopt_term(batch[-1].term)
            await replica.replace_from(batch)
            replica.advance_commit_index(batch[-1].index)
        self._record_contact(body)

    def _record_contact(self, body: FollowEntries) -> None:
        replica = self._replica
        replica.contact.upstream_s = max(
            replica.contact.upstream_s,
            _now() - body.age_s,
        )
        if body.leader != replica.leader and body.leader != replica.own_id:
            replica.leader = body.leader
            replica.changed.notify()


def _now() -> float:
    return asyncio.get_running_loop().time()

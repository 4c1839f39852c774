"""The stream of committed entries to an instance that follows this one."""

import asyncio

from mustardspur_agreement.entries import batch_of, pack_entries
from mustardspur_agreement.messages import Follow, FollowEntries, PeerGreeting
from mustardspur_agreement.ports import Channel
from mustardspur_agreement.replica import Replica
from mustardspur_agreement.replication import snapshot_chunks


class Feed:
    """Sends committed entries and snapshots to one following instance.

    Parameters
    ----------
    replica : Replica
        State of the local replica.
    channel : Channel
        The connection of the following instance.
    greeting : PeerGreeting
        Identifier and region of the following instance.
    """

    __slots__ = ('_after_index', '_channel', '_is_cross_region', '_replica')

    def __init__(
        self,
        replica: Replica,
        channel: Channel,
        greeting: PeerGreeting,
    ) -> None:
        """Initialise before the first request."""
        self._replica = replica
        self._channel = channel
        self._is_cross_region = (
            greeting.region != replica.context.settings.region
        )
        self._after_index = 0

    async def run(self, request: Follow) -> None:
        """Send until the connection fails or the task is cancelled."""
        self._after_index = request.after_index
        replica = self._replica
        heartbeat_s = replica.context.settings.intervals.heartbeat_s
        while True:
            if self._after_index + 1 < replica.entries.first_index:
                await self._send_snapshot()
            await self._send_entries()
            await replica.changed.wait_until(self._has_new_entries, heartbeat_s)

    def _has_new_entries(self) -> bool:
        return self._replica.commit_index > self._after_index

    async def _send_entries(self) -> None:
        replica = self._replica
        first_index = self._after_index + 1
        batch = batch_of(
            replica.entries.between(first_index, replica.commit_index),
        )
        compressed = bool(batch) and self._is_cross_region
        prev_index = self._after_index
        self._after_index += len(batch)
        await self._channel.send(
            FollowEntries(
                term=replica.ballot.term,
                leader=replica.leader,
                prev_index=prev_index,
                packed=pack_entries(batch, compressed=compressed),
                compressed=compressed,
                age_s=self._age_s(),
            )
        )

    async def _send_snapshot(self) -> None:
        snapshot = self._replica.entries.snapshot
        if snapshot is None:
            return
        self._after_index = snapshot.index
        chunks = snapshot_chunks(
            snapshot,
            compressed=self._is_cross_region,
            term=self._replica.ballot.term,
            leader=self._replica.leader or '',
        )
        while chunks:
            await self._channel.send(chunks.pop(0))

    def _age_s(self) -> float:
        if self._replica.leadership is not None:
            return 0
        now_s = asyncio.get_running_loop().time()
        return self._replica.contact.age_s(now_s)

"""The stream of one attached node."""

import asyncio
import logging
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from mustardspur_agreement import ReplicatedLog
from mustardspur_core.mesh.control_messages import (
    MeshAnnounce,
    MeshBeat,
    MeshEvidence,
    MeshHello,
    MeshTable,
    MeshTransfers,
)
from mustardspur_core.settings import Peer, Settings
from mustardspur_core.tasks import run_until_first_end
from mustardspur_core.wire import FrameStream, end_on_silence

from mustardspur_control.mesh.changes import PendingRows
from mustardspur_control.mesh.evidence import EvidenceBook
from mustardspur_control.mesh.exchange import Exchange
from mustardspur_control.mesh.members import Members
from mustardspur_control.mesh.registry import OWN, MeshRegistry
from mustardspur_control.mesh.store import MeshStore
from mustardspur_control.mesh.tables import TableFeed

_LOG: Final = logging.getLogger(__name__)

# Changes within this time travel together, so that a burst of edits is one
# difference instead of many.
SEND_GAP_S: Final = 0.05
# A table that no quorum confirms is sent after this time, so that a node
# that starts while the voters cannot agree is not without one.
CONFIRM_S: Final = 1.5


class NodeFeeds:
    """Serves the nodes that are attached to this instance.

    Parameters
    ----------
    settings : Settings
        Settings of this instance.
    log : ReplicatedLog
        Confirms that the state is current.
    store : MeshStore
        The applied state.
    registry : MeshRegistry
        Rows of all nodes.
    members : Members
        Control instances that nodes may attach to.
    exchange : Exchange
        Passes evidence on to the leader.
    evidence : EvidenceBook
        Takes evidence while this instance leads.
    """

    __slots__ = (
        'evidence',
        'exchange',
        'feeds',
        'log',
        'members',
        'registry',
        'settings',
        'store',
        'tables',
    )

    def __init__(
        self,
        settings: Settings,
        log: ReplicatedLog,
        store: MeshStore,
        registry: MeshRegistry,
        members: Members,
        exchange: Exchange,
        evidence: EvidenceBook,
    ) -> None:
        """Start without nodes."""
        self.settings = settings
        self.log = log
        self.store = store
        self.registry = registry
        self.members = members
        self.exchange = exchange
        self.evidence = evidence
        self.tables = TableFeed(store)
        self.feeds: set[NodeFeed] = set()
        store.on_change(self._wake_all)
        registry.on_change(self._note_row)

    async def serve(self, stream: FrameStream, hello: MeshHello) -> None:
        """Serve a node until its stream ends."""
        feed = NodeFeed(self, stream, hello)
        with self._attached(feed):
            await feed.run()

    @contextmanager
    def _attached(self, feed: 'NodeFeed') -> Iterator[None]:
        self.feeds.add(feed)
        _LOG.info('node attached', extra={'node': feed.node})
        try:
            yield
        finally:
            self._detach(feed)

    def _detach(self, feed: 'NodeFeed') -> None:
        self.feeds.discard(feed)
        if not self._is_attached(feed.node):
            self.registry.remove(OWN, feed.node)
        _LOG.info('node detached', extra={'node': feed.node})

    def _is_attached(self, node: str) -> bool:
        return any(feed.node == node for feed in self.feeds)

    def _wake_all(self) -> None:
        for feed in self.feeds:
            feed.wake.set()

    def _note_row(self, node: str) -> None:
        for feed in self.feeds:
            feed.pending.note(node)


class NodeFeed:
    """What one node has been sent.

    Parameters
    ----------
    shared : NodeFeeds
        What all feeds read.
    stream : FrameStream
        The node's stream.
    hello : MeshHello
        Its first frame.
    """

    __slots__ = (
        '_confirmed',
        '_held_index',
        '_sent_controls',
        '_shared',
        '_stream',
        '_transfers_index',
        '_waited',
        'node',
        'pending',
        'wake',
    )

    def __init__(
        self,
        shared: NodeFeeds,
        stream: FrameStream,
        hello: MeshHello,
    ) -> None:
        """Start with nothing sent."""
        self._shared = shared
        self._stream = stream
        self._held_index = hello.held_index
        self._transfers_index = -1
        self._confirmed = False
        self._sent_controls: list[Peer] = []
        self._waited: asyncio.Task[None] | None = None
        self.node = hello.node
        self.wake = asyncio.Event()
        self.pending = PendingRows(self.wake)

    async def run(self) -> None:
        """Serve until the stream ends."""
        with self._confirming():
            await run_until_first_end(
                self._receive(),
                self._send(),
                self._beat(),
                end_on_silence(
                    self._stream,
                    self._shared.settings.intervals.silence_s,
                ),
            )

    @contextmanager
    def _confirming(self) -> Iterator[None]:
        """End the wait for a quorum with the stream."""
        try:
            yield
        finally:
            if self._waited is not None:
                self._waited.cancel()

    async def _receive(self) -> None:
        while True:
            body = (await self._stream.receive()).body
            if isinstance(body, MeshAnnounce):
                self._shared.registry.put(OWN, body.target)
            elif isinstance(body, MeshEvidence):
                self._pass_on(body)

    def _pass_on(self, evidence: MeshEvidence) -> None:
        log = self._shared.log
        if log.is_leader:
            self._shared.evidence.take(evidence)
        elif log.leader is not None:
            self._shared.exchange.send_evidence(log.leader, evidence)

    async def _send(self) -> None:
        self._send_beat()
        await self._confirm()
        while True:
            self.wake.clear()
            self._send_news()
            await self._stream.drain()
            await asyncio.sleep(SEND_GAP_S)
            await self.wake.wait()

    async def _confirm(self) -> None:
        """Wait for a quorum's confirmation, or send what there is later.

        A node that holds a table takes only newer ones, so it needs none.
        """
        if self._held_index:
            self._confirmed = True
            return
        waited = asyncio.create_task(self._wait_for_quorum())
        waited.add_done_callback(lambda _: self.wake.set())
        self._waited = waited
        await asyncio.wait([waited], timeout=CONFIRM_S)

    async def _wait_for_quorum(self) -> None:
        log = self._shared.log
        interval_s = self._shared.settings.intervals.election_s
        while not await log.wait_for_leader(interval_s):
            _LOG.debug('no leader is known', extra={'node': self.node})
        barrier = await log.read_barrier()
        while barrier.is_error():
            await asyncio.sleep(interval_s)
            barrier = await log.read_barrier()
        self._confirmed = True
        # An unconfirmed table is sent once more, now confirmed.
        self._held_index = 0

    def _send_news(self) -> None:
        rows = self.pending.take(self._shared.registry.by_node)
        if rows is not None:
            self._stream.send_soon(rows)
        self._send_transfers()
        delta = self._shared.tables.delta(self._held_index)
        if delta is not None:
            self._held_index = delta.index
            self._stream.send_soon(
                MeshTable(delta=delta, confirmed=self._confirmed),
            )

    def _send_transfers(self) -> None:
        state = self._shared.store.state
        if state.index == self._transfers_index:
            return
        self._transfers_index = state.index
        self._stream.send_soon(
            MeshTransfers(
                index=state.index,
                transfers=list(state.transfers.values()),
                base_versions=state.base_versions,
            ),
        )

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(self._shared.settings.intervals.heartbeat_s)
            self._send_beat()

    def _send_beat(self) -> None:
        controls = self._shared.members.controls
        changed = controls != self._sent_controls
        self._sent_controls = controls
        self._stream.send_soon(
            MeshBeat(
                current=self._shared.log.is_current,
                controls=controls if changed else [],
            ),
        )

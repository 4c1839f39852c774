"""Streams to the attached nodes: table, transfers and registrations."""

import asyncio
import logging
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from mustardspur_agreement import ReplicatedLog
from mustardspur_core.mesh.control_messages import (
    AllowanceRequest,
    MeshAnnounce,
    MeshAttach,
    MeshCrash,
    MeshEvidence,
    MeshHeartbeat,
    MeshHello,
    MeshSubscribe,
)
from mustardspur_core.settings import Peer, Settings
from mustardspur_core.tasks import run_until_first_end
from mustardspur_core.wire import Frame, FrameStream, raise_on_silence

from mustardspur_control.mesh.evidence import EvidenceAggregator
from mustardspur_control.mesh.exchange import ControlExchange
from mustardspur_control.mesh.feed_messages import (
    table_message,
    transfers_message,
)
from mustardspur_control.mesh.membership import Membership
from mustardspur_control.mesh.pending_updates import PendingUpdates
from mustardspur_control.mesh.registry import (
    LOCAL_SOURCE,
    MeshRegistry,
    check_speaker,
)
from mustardspur_control.mesh.store import MeshStore
from mustardspur_control.mesh.table_deltas import TableDeltas

_LOG: Final = logging.getLogger(__name__)

# Changes within this time are sent together, so that a burst of edits becomes
# a single delta.
SEND_INTERVAL_S: Final = 0.05
# A table that no quorum confirms is sent after this time, so that a node that
# starts while there is no quorum still receives one.
CONFIRMATION_TIMEOUT_S: Final = 1.5


NodeGreeting = MeshHello | MeshAttach | MeshSubscribe


class NodeFeedServer:
    """Serves the nodes that are attached to this instance.

    Parameters
    ----------
    settings : Settings
        Settings of this instance.
    log : ReplicatedLog
        Log that confirms that the state is current.
    store : MeshStore
        The applied state.
    registry : MeshRegistry
        Registrations of all nodes.
    members : Membership
        Control instances that nodes may attach to.
    exchange : ControlExchange
        Streams that forward evidence to the leader.
    evidence : EvidenceAggregator
        Receives the evidence while this instance is the leader.
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
        members: Membership,
        exchange: ControlExchange,
        evidence: EvidenceAggregator,
    ) -> None:
        """Initialise the server without nodes."""
        self.settings = settings
        self.log = log
        self.store = store
        self.registry = registry
        self.members = members
        self.exchange = exchange
        self.evidence = evidence
        self.tables = TableDeltas(store)
        self.feeds: set[NodeFeed] = set()
        store.on_change(self._wake_all)
        exchange.crashes.on_change(self._wake_all)
        registry.on_change(self._mark_changed)

    async def serve(
        self,
        stream: FrameStream,
        hello: NodeGreeting,
    ) -> None:
        """Serve a node until its stream ends."""
        feed = NodeFeed(self, stream, hello)
        with self._attached(feed):
            await feed.run()

    def forward_evidence(self, evidence: MeshEvidence) -> None:
        """Give the counts of an attached node to the leader."""
        if self.log.is_leader:
            self.evidence.record(evidence)
        elif self.log.leader is not None:
            self.exchange.send_evidence(self.log.leader, evidence)

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
            self.registry.remove(LOCAL_SOURCE, feed.node)
        _LOG.info('node detached', extra={'node': feed.node})

    def _is_attached(self, node: str) -> bool:
        return any(feed.node == node for feed in self.feeds)

    def _wake_all(self) -> None:
        for feed in self.feeds:
            feed.wake.set()

    def _mark_changed(self, node: str) -> None:
        for feed in self.feeds:
            feed.pending.mark_changed(node)


class NodeFeed:
    """Stream of one attached node and the progress of its updates.

    Parameters
    ----------
    shared : NodeFeedServer
        State that all feeds share.
    stream : FrameStream
        The node's stream.
    hello : MeshHello, MeshAttach or MeshSubscribe
        First frame of the node.
    """

    __slots__ = (
        '_accepts_blocks',
        '_accepts_packed',
        '_confirmed',
        '_quorum_wait',
        '_sent_blocks',
        '_sent_controls',
        '_sent_heartbeat_id',
        '_sent_lifted_index',
        '_shared',
        '_stream',
        '_table_index',
        '_transfers_index',
        'node',
        'pending',
        'wake',
    )

    def __init__(
        self,
        shared: NodeFeedServer,
        stream: FrameStream,
        hello: NodeGreeting,
    ) -> None:
        """Initialise the feed with nothing sent."""
        self._shared = shared
        self._stream = stream
        self._table_index = hello.table_index
        self._accepts_blocks = isinstance(hello, MeshSubscribe)
        self._accepts_packed = not isinstance(hello, MeshHello)
        # End of each block that was sent, by fingerprint.
        self._sent_blocks: dict[bytes, float] = {}
        self._sent_lifted_index = 0
        self._transfers_index = -1
        self._confirmed = False
        self._sent_controls: list[Peer] = []
        self._sent_heartbeat_id = 0
        self._quorum_wait: asyncio.Task[None] | None = None
        self.node = hello.node
        self.wake = asyncio.Event()
        self.pending = PendingUpdates(self.wake)

    async def run(self) -> None:
        """Serve until the stream ends."""
        with self._cancelling_wait():
            await run_until_first_end(
                self._receive(),
                self._send(),
                self._send_heartbeats(),
                raise_on_silence(
                    self._stream,
                    self._shared.settings.intervals.silence_s,
                ),
            )

    @contextmanager
    def _cancelling_wait(self) -> Iterator[None]:
        """Cancel the wait for a quorum at the end of the stream."""
        try:
            yield
        finally:
            if self._quorum_wait is not None:
                self._quorum_wait.cancel()

    async def _receive(self) -> None:
        while True:
            self._apply(await self._stream.receive())

    def _apply(self, frame: Frame) -> None:
        """Apply a frame of the node.

        Raises
        ------
        MalformedFrame
            If it speaks for another node, or names more than a node does.
        """
        body = frame.body
        exchange = self._shared.exchange
        check_speaker(body, self.node)
        if isinstance(body, MeshAnnounce):
            self._shared.registry.put(LOCAL_SOURCE, body.target)
        elif isinstance(body, MeshEvidence):
            self._shared.forward_evidence(body)
        elif isinstance(body, MeshCrash):
            exchange.crashes.record(body)
        elif isinstance(body, AllowanceRequest):
            grant = exchange.allowances.answer(self.node, body)
            self._stream.enqueue(grant)

    async def _send(self) -> None:
        self._send_heartbeat()
        await self._confirm()
        while True:
            self.wake.clear()
            self._send_updates()
            await self._stream.drain()
            await asyncio.sleep(SEND_INTERVAL_S)
            await self.wake.wait()

    async def _confirm(self) -> None:
        """Wait until a quorum confirms the state, or for the timeout.

        A node that has a table accepts only newer ones, so its feed needs no
        confirmation.
        """
        if self._table_index:
            self._confirmed = True
            return
        quorum_wait = asyncio.create_task(self._wait_for_quorum())
        quorum_wait.add_done_callback(lambda _: self.wake.set())
        self._quorum_wait = quorum_wait
        await asyncio.wait([quorum_wait], timeout=CONFIRMATION_TIMEOUT_S)

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
        # A table that was sent unconfirmed is sent again as confirmed.
        self._table_index = 0

    def _send_updates(self) -> None:
        targets = self.pending.pop_update(self._shared.registry.by_node)
        if targets is not None:
            self._stream.enqueue(targets)
        self._send_transfers()
        self._send_blocks()
        heartbeat_id = self._shared.exchange.allowances.heartbeat_id
        if heartbeat_id != self._sent_heartbeat_id:
            # Before the table, so that a node that learns of limits knows
            # that it can ask for tokens.
            self._send_heartbeat()
        delta = self._shared.tables.delta(self._table_index)
        if delta is not None:
            self._table_index = delta.index
            self._stream.enqueue(
                table_message(
                    self._shared.tables,
                    delta,
                    packed=self._accepts_packed,
                    confirmed=self._confirmed,
                ),
            )

    def _send_transfers(self) -> None:
        state = self._shared.store.state
        if state.index == self._transfers_index:
            return
        self._transfers_index = state.index
        self._stream.enqueue(
            transfers_message(state, self._stream.greeting_id),
        )

    def _send_blocks(self) -> None:
        if not self._accepts_blocks:
            return
        crashes = self._shared.exchange.crashes
        blocks = crashes.blocks_except(
            self._sent_blocks,
            self._sent_lifted_index,
        )
        if blocks is not None:
            self._sent_blocks = crashes.blocked_until_s
            self._sent_lifted_index = crashes.lifted_index
            self._stream.enqueue(blocks)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(self._shared.settings.intervals.heartbeat_s)
            self._send_heartbeat()

    def _send_heartbeat(self) -> None:
        controls = self._shared.members.controls
        changed = controls != self._sent_controls
        self._sent_controls = controls
        self._sent_heartbeat_id = self._shared.exchange.allowances.heartbeat_id
        self._stream.enqueue(
            MeshHeartbeat(
                current=self._shared.log.is_current,
                controls=controls if changed else [],
            ),
            self._sent_heartbeat_id,
        )

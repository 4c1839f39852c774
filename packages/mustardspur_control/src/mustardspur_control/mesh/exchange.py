"""Streams between the control instances of a mesh.

Each instance opens a stream to every other one. It sends the registrations of
the nodes that are attached to it, the crashes that it knows, and to the leader
the evidence on transfers.
"""

import asyncio
import logging
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from mustardspur_core.mesh.control_messages import (
    ACCEPTS_ALLOWANCES,
    AllowanceDemand,
    AllowanceGrant,
    AllowanceRequest,
    ControlHello,
    MeshCrash,
    MeshEvidence,
    MeshHeartbeat,
    MeshTargets,
)
from mustardspur_core.record import Record
from mustardspur_core.settings import Peer, Settings
from mustardspur_core.tasks import run_until_first_end, supervised
from mustardspur_core.wire import (
    FrameStream,
    MalformedFrame,
    connect_stream,
    raise_on_silence,
)

from mustardspur_control.mesh.allowances import AllowanceBroker
from mustardspur_control.mesh.crash_index import CrashKey, crash_key
from mustardspur_control.mesh.crash_register import CrashRegister
from mustardspur_control.mesh.evidence import EvidenceAggregator
from mustardspur_control.mesh.formation import own_peer
from mustardspur_control.mesh.membership import Membership
from mustardspur_control.mesh.pending_updates import PendingUpdates
from mustardspur_control.mesh.registry import LOCAL_SOURCE, MeshRegistry

_LOG: Final = logging.getLogger(__name__)

CONNECT_TIMEOUT_S: Final = 1.0
RECONNECT_DELAY_S: Final = 0.5
# Streams to new instances are opened at this interval.
PEER_SCAN_INTERVAL_S: Final = 0.3
# Changes within this time are sent together.
SEND_INTERVAL_S: Final = 0.05
_STREAM_ERRORS: Final = (OSError, EOFError, TimeoutError, MalformedFrame)


class ControlExchange:
    """Exchanges registrations and evidence with the other instances.

    Parameters
    ----------
    settings : Settings
        Settings of this instance.
    members : Membership
        Instances to connect to.
    registry : MeshRegistry
        Registrations of all nodes.
    evidence : EvidenceAggregator
        Receives the evidence that other instances forward.
    allowances : AllowanceBroker
        Broker of the shared limits, with the demand to exchange.

    Attributes
    ----------
    crashes : CrashRegister
        Crashes that the nodes of all instances have observed.
    """

    __slots__ = (
        '_evidence',
        '_links',
        '_members',
        '_registry',
        '_settings',
        'allowances',
        'crashes',
    )

    def __init__(
        self,
        settings: Settings,
        members: Membership,
        registry: MeshRegistry,
        evidence: EvidenceAggregator,
        allowances: AllowanceBroker,
    ) -> None:
        """Initialise the exchange without streams."""
        self.allowances = allowances
        self._settings = settings
        self._members = members
        self._registry = registry
        self._evidence = evidence
        self._links: dict[str, OutgoingLink] = {}
        self.crashes = CrashRegister()
        registry.on_change(self._mark_changed)
        allowances.on_update(self._send_demand)
        allowances.borrowing.on_shortage(self._borrow)
        self.crashes.on_change(self._wake_links)

    async def run(self) -> None:
        """Keep a stream open to every other instance until cancelled."""
        self._links = {}
        async with asyncio.TaskGroup() as group:
            while True:
                for peer_id in (
                    self._members.other_peers.keys() - self._links.keys()
                ):
                    link = OutgoingLink(
                        peer_id,
                        self._settings,
                        self._members,
                        self._registry,
                        self.crashes,
                        self.allowances,
                    )
                    self._links[peer_id] = link
                    group.create_task(
                        supervised(f'link to {peer_id}', link.run)
                    )
                await asyncio.sleep(PEER_SCAN_INTERVAL_S)

    async def serve(self, stream: FrameStream, hello: ControlHello) -> None:
        """Receive the messages of another instance until its stream ends."""
        peer = hello.sender
        self._members.record_seen(peer)
        with self._removing_after_end(peer):
            await run_until_first_end(
                self._receive(stream, peer),
                self._send_heartbeats(stream),
                raise_on_silence(stream, self._settings.intervals.silence_s),
            )

    def send_evidence(self, leader: str, evidence: MeshEvidence) -> None:
        """Forward the counts of an attached node to the leader.

        They are dropped if there is no stream to the leader.
        """
        link = self._links.get(leader)
        if link is not None:
            link.send(evidence)

    @contextmanager
    def _removing_after_end(self, peer: Peer) -> Iterator[None]:
        """Schedule the removal of a peer's registrations after the block."""
        try:
            yield
        finally:
            self._registry.schedule_removal(
                peer.id,
                lambda: self._members.is_live(peer.id),
            )

    async def _receive(self, stream: FrameStream, peer: Peer) -> None:
        while True:
            body = (await stream.receive()).body
            self._members.record_seen(peer)
            if isinstance(body, AllowanceRequest):
                grant = self.allowances.borrowing.lend(body, _now())
                stream.enqueue(grant)
            else:
                self._apply(peer, body)

    def _apply(self, peer: Peer, body: Record) -> None:
        if isinstance(body, MeshTargets):
            self._registry.apply_update(peer.id, body)
        elif isinstance(body, MeshEvidence):
            self._evidence.record(body)
        elif isinstance(body, MeshCrash):
            self.crashes.record(body)
        elif isinstance(body, AllowanceDemand):
            self.allowances.record_demand(peer.id, body)

    async def _send_heartbeats(self, stream: FrameStream) -> None:
        # Instances of earlier builds name no one.
        accepts_crashes = own_peer(self._settings)
        named: dict[str, Peer] = {}
        while True:
            known = self._members.peers_to_name
            new = [peer for name, peer in known.items() if name not in named]
            named = known
            stream.enqueue(
                MeshHeartbeat(current=True, controls=[accepts_crashes, *new]),
                self.allowances.heartbeat_id,
            )
            await asyncio.sleep(self._settings.intervals.heartbeat_s)

    def _mark_changed(self, node: str) -> None:
        for link in self._links.values():
            link.mark_changed(node)

    def _send_demand(self) -> None:
        for link in self._links.values():
            link.send_demand()

    def _borrow(self) -> None:
        """Ask other instances for the tokens that are missing here."""
        lenders = {peer for peer, link in self._links.items() if link.may_ask}
        requests = self.allowances.borrowing.requests(lenders, _now())
        for lender, request in requests.items():
            self._links[lender].ask(request)

    def _wake_links(self) -> None:
        for link in self._links.values():
            link.wake()


class OutgoingLink:
    """Stream that this instance opens to another one.

    Parameters
    ----------
    peer_id : str
        Identifier of the other instance.
    settings : Settings
        Settings of this instance.
    members : Membership
        Address of the other instance, by its identifier.
    registry : MeshRegistry
        Registrations to send.
    crashes : CrashRegister
        Crashes to send.
    allowances : AllowanceBroker
        Demand to send.
    """

    __slots__ = (
        '_accepts_allowances',
        '_accepts_crashes',
        '_allowances',
        '_asked',
        '_crashes',
        '_members',
        '_peer_id',
        '_pending',
        '_registry',
        '_sent_crashes',
        '_sent_demand',
        '_settings',
        '_stream',
        '_wake',
    )

    def __init__(
        self,
        peer_id: str,
        settings: Settings,
        members: Membership,
        registry: MeshRegistry,
        crashes: CrashRegister,
        allowances: AllowanceBroker,
    ) -> None:
        """Initialise the link without a stream."""
        self._allowances = allowances
        self._accepts_allowances = False
        # Request for tokens that has not been answered on this stream.
        self._asked: AllowanceRequest | None = None
        self._peer_id = peer_id
        self._crashes = crashes
        self._accepts_crashes = False
        self._sent_crashes: set[CrashKey] = set()
        # Demand that was sent on this stream, by limit.
        self._sent_demand: dict[str, float] = {}
        self._settings = settings
        self._members = members
        self._registry = registry
        self._wake = asyncio.Event()
        self._pending = PendingUpdates(self._wake)
        self._stream: FrameStream | None = None

    async def run(self) -> None:
        """Reconnect until cancelled while the instance is known."""
        while True:
            peer = self._members.other_peers.get(self._peer_id)
            if peer is not None:
                await self._run_stream(peer)
            await asyncio.sleep(RECONNECT_DELAY_S)

    def mark_changed(self, node: str) -> None:
        """Mark the registration of a node as changed."""
        self._pending.mark_changed(node)

    def wake(self) -> None:
        """Send new crashes."""
        self._wake.set()

    @property
    def may_ask(self) -> bool:
        """Whether a request for tokens can be sent."""
        is_open = self._stream is not None and self._accepts_allowances
        return is_open and self._asked is None

    def ask(self, request: AllowanceRequest) -> None:
        """Send a request for tokens."""
        self._asked = request
        self.send(request)

    def send_demand(self) -> None:
        """Send the demand for shared limits if it has changed."""
        if self._stream is not None and self._accepts_allowances:
            changed = self._allowances.changed_demand(self._sent_demand)
            if changed is not None:
                self._stream.enqueue(changed)

    def send(self, body: Record) -> None:
        """Send a message if the stream is open; it is dropped otherwise."""
        if self._stream is not None:
            self._stream.enqueue(body)

    async def _run_stream(self, peer: Peer) -> None:
        try:
            async with connect_stream(peer.stream, CONNECT_TIMEOUT_S) as stream:
                self._stream = stream
                await run_until_first_end(
                    self._send(stream),
                    self._receive(stream),
                    raise_on_silence(
                        stream,
                        self._settings.intervals.silence_s,
                    ),
                )
        except _STREAM_ERRORS as error:
            _LOG.debug(
                'stream to control instance ended',
                extra={'peer': peer.id, 'reason': repr(error)},
            )
        finally:
            self._stream = None
            # The first frame of the next stream names this instance.
            self._accepts_allowances = False

    async def _send(self, stream: FrameStream) -> None:
        stream.enqueue(ControlHello(sender=own_peer(self._settings)))
        self._pending = PendingUpdates(self._wake)
        self._accepts_crashes = False
        self._accepts_allowances = False
        self._asked = None
        self._sent_crashes = set()
        self._sent_demand = {}
        while True:
            self._wake.clear()
            self._send_crashes(stream)
            update = self._pending.pop_update(
                self._registry.registrations_from(LOCAL_SOURCE),
            )
            if update is not None:
                stream.enqueue(update)
            await stream.drain()
            await asyncio.sleep(SEND_INTERVAL_S)
            await self._wait_for_change(stream)

    async def _wait_for_change(self, stream: FrameStream) -> None:
        try:
            async with asyncio.timeout(self._settings.intervals.heartbeat_s):
                await self._wake.wait()
        except TimeoutError:
            stream.enqueue(MeshHeartbeat(current=True, controls=[]))

    async def _receive(self, stream: FrameStream) -> None:
        while True:
            frame = await stream.receive()
            body = frame.body
            if frame.request_id == ACCEPTS_ALLOWANCES:
                self._accepts_allowances = True
            if isinstance(body, MeshHeartbeat) and body.controls:
                self._receive_names(body.controls)
            asked = self._asked
            if isinstance(body, AllowanceGrant) and asked is not None:
                self._asked = None
                self._allowances.borrowing.receive(
                    self._peer_id, asked, body, _now()
                )

    def _receive_names(self, controls: list[Peer]) -> None:
        self._members.record_named(controls)
        if not self._accepts_crashes:
            self._accepts_crashes = True
            self._wake.set()

    def _send_crashes(self, stream: FrameStream) -> None:
        """Send the crashes that were not sent on this stream."""
        if not self._accepts_crashes:
            return
        for crash in self._crashes.crashes_except(self._sent_crashes):
            self._sent_crashes.add(crash_key(crash))
            stream.enqueue(crash)


def _now() -> float:
    return asyncio.get_running_loop().time()

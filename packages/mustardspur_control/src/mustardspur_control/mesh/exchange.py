"""Streams between the control instances of a mesh.

Each instance opens a stream to every other one and sends on it the rows of
the nodes that are attached to it, and to the leader the evidence of moves.
"""

import asyncio
import logging
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from mustardspur_core.mesh.control_messages import (
    ControlHello,
    MeshBeat,
    MeshEvidence,
    MeshTargets,
)
from mustardspur_core.record import Record
from mustardspur_core.settings import Peer, Settings
from mustardspur_core.tasks import run_until_first_end
from mustardspur_core.wire import (
    FrameStream,
    MalformedFrame,
    connect_stream,
    end_on_silence,
)

from mustardspur_control.mesh.changes import PendingRows
from mustardspur_control.mesh.evidence import EvidenceBook
from mustardspur_control.mesh.formation import own_peer
from mustardspur_control.mesh.members import Members
from mustardspur_control.mesh.registry import OWN, MeshRegistry

_LOG: Final = logging.getLogger(__name__)

CONNECT_TIMEOUT_S: Final = 1.0
RETRY_S: Final = 0.5
# New instances are looked for at this interval.
SCAN_S: Final = 0.3
# Changes within this time travel together.
SEND_GAP_S: Final = 0.05
_STREAM_ERRORS: Final = (OSError, EOFError, TimeoutError, MalformedFrame)


class Exchange:
    """Keeps the rows of all control instances in step.

    Parameters
    ----------
    settings : Settings
        Settings of this instance.
    members : Members
        Whom to connect to.
    registry : MeshRegistry
        The rows.
    evidence : EvidenceBook
        Takes the evidence of others.
    """

    __slots__ = ('_evidence', '_links', '_members', '_registry', '_settings')

    def __init__(
        self,
        settings: Settings,
        members: Members,
        registry: MeshRegistry,
        evidence: EvidenceBook,
    ) -> None:
        """Start without streams."""
        self._settings = settings
        self._members = members
        self._registry = registry
        self._evidence = evidence
        self._links: dict[str, OutgoingLink] = {}
        registry.on_change(self._note_row)

    async def run(self) -> None:
        """Keep a stream to every other instance until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                for peer_id in self._members.others.keys() - self._links.keys():
                    link = OutgoingLink(
                        peer_id,
                        self._settings,
                        self._members,
                        self._registry,
                    )
                    self._links[peer_id] = link
                    group.create_task(link.run())
                await asyncio.sleep(SCAN_S)

    async def serve(self, stream: FrameStream, hello: ControlHello) -> None:
        """Take what another instance sends until its stream ends."""
        peer = hello.sender
        self._members.note(peer)
        with self._reported_by(peer):
            await run_until_first_end(
                self._receive(stream, peer),
                self._answer_beats(stream),
                end_on_silence(stream, self._settings.intervals.silence_s),
            )

    def send_evidence(self, leader: str, evidence: MeshEvidence) -> None:
        """Pass the counts of an attached node on to the leader."""
        link = self._links.get(leader)
        if link is not None:
            link.send(evidence)

    @contextmanager
    def _reported_by(self, peer: Peer) -> Iterator[None]:
        """Let the rows of a peer go some time after its stream."""
        try:
            yield
        finally:
            self._registry.drop_later(
                peer.id,
                lambda: self._members.is_live(peer.id),
            )

    async def _receive(self, stream: FrameStream, peer: Peer) -> None:
        while True:
            body = (await stream.receive()).body
            self._members.note(peer)
            if isinstance(body, MeshTargets):
                self._registry.take(peer.id, body)
            elif isinstance(body, MeshEvidence):
                self._evidence.take(body)

    async def _answer_beats(self, stream: FrameStream) -> None:
        while True:
            stream.send_soon(MeshBeat(current=True, controls=[]))
            await asyncio.sleep(self._settings.intervals.heartbeat_s)

    def _note_row(self, node: str) -> None:
        for link in self._links.values():
            link.note(node)


class OutgoingLink:
    """The stream that this instance opens to another one."""

    __slots__ = (
        '_members',
        '_peer_id',
        '_pending',
        '_registry',
        '_settings',
        '_stream',
        '_wake',
    )

    def __init__(
        self,
        peer_id: str,
        settings: Settings,
        members: Members,
        registry: MeshRegistry,
    ) -> None:
        """Start without a stream."""
        self._peer_id = peer_id
        self._settings = settings
        self._members = members
        self._registry = registry
        self._wake = asyncio.Event()
        self._pending = PendingRows(self._wake)
        self._stream: FrameStream | None = None

    async def run(self) -> None:
        """Keep the stream while the instance is known."""
        while True:
            peer = self._members.others.get(self._peer_id)
            if peer is not None:
                await self._try(peer)
            await asyncio.sleep(RETRY_S)

    def note(self, node: str) -> None:
        """Mark a node's row as changed."""
        self._pending.note(node)

    def send(self, body: Record) -> None:
        """Send a message if the stream is there."""
        if self._stream is not None:
            self._stream.send_soon(body)

    async def _try(self, peer: Peer) -> None:
        try:
            async with connect_stream(peer.stream, CONNECT_TIMEOUT_S) as stream:
                self._stream = stream
                await run_until_first_end(
                    self._send(stream),
                    _drain_answers(stream),
                    end_on_silence(
                        stream,
                        self._settings.intervals.silence_s,
                    ),
                )
        except _STREAM_ERRORS as error:
            _LOG.debug(
                'control instance not reached',
                extra={'peer': peer.id, 'reason': repr(error)},
            )
        finally:
            self._stream = None

    async def _send(self, stream: FrameStream) -> None:
        stream.send_soon(ControlHello(sender=own_peer(self._settings)))
        self._pending = PendingRows(self._wake)
        while True:
            self._wake.clear()
            update = self._pending.take(self._registry.rows_of(OWN))
            if update is not None:
                stream.send_soon(update)
            await stream.drain()
            await asyncio.sleep(SEND_GAP_S)
            await self._wait(stream)

    async def _wait(self, stream: FrameStream) -> None:
        try:
            async with asyncio.timeout(self._settings.intervals.heartbeat_s):
                await self._wake.wait()
        except TimeoutError:
            stream.send_soon(MeshBeat(current=True, controls=[]))


async def _drain_answers(stream: FrameStream) -> None:
    while True:
        await stream.receive()

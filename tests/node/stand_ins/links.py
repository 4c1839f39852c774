"""Nodes and streams over links of limited bandwidth, in virtual time."""

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from contextvars import ContextVar
from functools import partial
from http import HTTPStatus
from typing import Any, cast

import pytest
from mustardspur_core.mesh.call_messages import CallOpen
from mustardspur_core.record import Record
from mustardspur_core.wire import (
    MAX_FRAME_BYTES,
    Frame,
    MalformedFrame,
    decode_frame,
    encode_frame,
)
from mustardspur_node.mesh.calls import BeforeSend, TargetAnswer
from mustardspur_node.mesh.local_target import LocalTarget
from mustardspur_node.mesh.names import HEADER_NAMES
from mustardspur_node.mesh.peer_server import PeerServer
from mustardspur_node.mesh.reports import ReportStore

from tests.node.mesh.builders import target_report

_BYTES_PER_MBIT = 125_000
# Address of the node that the calls of a task come from.
SENDER: ContextVar[str] = ContextVar('SENDER', default='127.0.0.1:9000')
# Headers of the packets of a frame.
_HEADER_BYTES = 60
_PACKET_BYTES = 1400


class SimulatedLink:
    """One direction of a link, which sends frames one after the other."""

    def __init__(self, mbps: float) -> None:
        """Initialise an unused link."""
        self.bytes_per_s = mbps * _BYTES_PER_MBIT
        self.free_s: float = 0

    def carry(
        self,
        size: int,
        latency_s: float,
        deliver: Callable[[], None],
    ) -> None:
        """Call a function once a number of bytes has crossed the link."""
        packets = 1 + size // _PACKET_BYTES
        total = size + packets * _HEADER_BYTES
        start_s = max(self.free_s, _now())
        self.free_s = start_s + total / self.bytes_per_s
        asyncio.get_running_loop().call_at(self.free_s + latency_s, deliver)


class LinkStream:
    """Replacement for one end of a `FrameStream` over simulated links.

    Attributes
    ----------
    is_cut : bool
        Whether frames of this end are lost.
    is_stuck : bool
        Whether the write buffer of this end does not become empty.
    """

    def __init__(self, uplink: SimulatedLink, downlink: SimulatedLink) -> None:
        """Initialise an end with the links of its instance."""
        self.uplink = uplink
        self.downlink = downlink
        self.other: LinkStream | None = None
        self.latency_s = 0.001
        self.is_cut = False
        self.is_stuck = False
        self.unsent_bytes = 0
        self.peer_address = 'simulated'
        self.sent: list[Record] = []
        self._received: asyncio.Queue[bytes] = asyncio.Queue()

    def limit_unsent(self, _: int) -> None:
        """Do nothing; `send` waits for the link."""

    def enqueue(self, body: Record, request_id: int = 0) -> None:
        """Send a frame over the uplink, then over the other downlink."""
        self.sent.append(body)
        encoded = encode_frame(body, request_id)
        other = self.other
        if other is None or self.is_cut:
            return
        size = len(encoded)
        arrive = partial(other.deliver, encoded)
        self.uplink.carry(
            size,
            self.latency_s,
            partial(other.downlink.carry, size, 0, arrive),
        )

    async def send(self, body: Record, request_id: int = 0) -> None:
        """Send a frame and wait until it has left the instance."""
        self.enqueue(body, request_id)
        await self.drain()

    async def drain(self) -> None:
        """Wait until all frames have left the instance."""
        while self.is_stuck:
            await asyncio.sleep(1)
        await asyncio.sleep(max(self.uplink.free_s - _now(), 0))

    def deliver(self, encoded: bytes) -> None:
        """Add a received frame."""
        self._received.put_nowait(encoded)

    async def receive(self, limit: int = MAX_FRAME_BYTES) -> Frame:
        """Return the next frame of at most some bytes."""
        encoded = await self._received.get()
        if not encoded:
            raise EOFError('stream ended')
        if len(encoded) > limit:
            raise MalformedFrame('length', f'{len(encoded)} bytes')
        return decode_frame(encoded)

    def close(self) -> None:
        """End the stream at both ends."""
        if self.other is not None:
            self.other.deliver(b'')


class TimedTarget(LocalTarget):
    """A target that answers each call after a fixed time."""

    def __init__(self, link_mbps: float, run_ms: Mapping[str, float]) -> None:
        """Initialise a ready target with nine slots."""
        super().__init__(ReportStore('10.0.0.5:9000'), HEADER_NAMES)
        self.admission.link.set_bandwidth(link_mbps)
        self.run_ms = run_ms
        self.bodies: list[bytes] = []
        self.reports.accept(target_report(slots=9))
        self.confirm()

    async def run(
        self,
        call: CallOpen,
        before_send: BeforeSend,
    ) -> TargetAnswer:
        """Hold a slot for the time of a run."""
        request = self.admission.ranks.waiting_request(call)
        async with self.admission.admitted(request, call.max_wait_ms):
            await before_send(self.admission.load)
            with self.admission.run_times.tracked():
                await asyncio.sleep(self.run_ms[call.route] / 1000)
            run_ms = self.run_ms[call.route]
            self.admission.run_times.record(run_ms, failed=False)
            self.admission.ranks.record(call.route, run_ms)
            self.bodies.append(call.body)
        return TargetAnswer(
            status=HTTPStatus.OK,
            reason='OK',
            headers=[],
            body=b'good',
            load=self.admission.load,
        )


class LinkNetwork:
    """Nodes by address, each with a link; replaces TCP between them."""

    def __init__(self, mbps: float) -> None:
        """Initialise a network without nodes."""
        self.mbps = mbps
        self.servers: dict[str, PeerServer] = {}
        self.links: dict[str, tuple[SimulatedLink, SimulatedLink]] = {}
        self.streams: list[LinkStream] = []

    def add(self, address: str, local: LocalTarget) -> None:
        """Add a node that accepts streams."""
        self.servers[address] = PeerServer(local)

    def install(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Connect all further streams; `SENDER` names the sending node."""
        monkeypatch.setattr(
            'mustardspur_node.mesh.peer_connection.connect_stream',
            lambda address, _: self.connect(SENDER.get(), address),
        )
        monkeypatch.setattr(
            'mustardspur_node.mesh.peer_server.FrameStream',
            lambda stream, _: stream,
        )

    @asynccontextmanager
    async def connect(
        self, sender: str, address: str
    ) -> AsyncIterator[LinkStream]:
        """Open a stream between two nodes."""
        near = LinkStream(*self._links_of(sender))
        far = LinkStream(*self._links_of(address))
        near.other = far
        far.other = near
        self.streams.append(near)
        server = self.servers[address]
        end: Any = cast(Any, far)
        serving = asyncio.create_task(server.serve(end, end))
        try:
            yield near
        finally:
            near.close()
            await asyncio.gather(serving, return_exceptions=True)

    def _links_of(self, address: str) -> tuple[SimulatedLink, SimulatedLink]:
        if address not in self.links:
            pair = SimulatedLink(self.mbps), SimulatedLink(self.mbps)
            self.links[address] = pair
        return self.links[address]


def _now() -> float:
    return asyncio.get_running_loop().time()

"""Tests of answers from a faulty node, or one of another version."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Final

import pytest
from mustardspur_core.mesh.call_messages import CallFailed, TargetLoad
from mustardspur_core.record import Record
from mustardspur_core.wire import FrameStream
from mustardspur_node.mesh.calls import PlacementFault
from mustardspur_node.mesh.peer_link import PeerCallLink

from tests.node.mesh.builders import call_open, node_settings

_TIME_S: Final = 10
_LOAD: Final = TargetLoad(
    running=0,
    waiting=0,
    slots=4,
    run_ms=5,
    failure_rate=0,
    open=True,
    link_wait_ms=0,
)
_LONG: Final = 'x' * 1_000_000


class _FaultyNode:
    """Node that answers each call with the same frames.

    Parameters
    ----------
    *frames : Record
        Frames of the answer.
    """

    def __init__(self, *frames: Record) -> None:
        """Initialise without streams."""
        self.frames = frames

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve a stream until it ends."""
        stream = FrameStream(reader, writer)
        with suppress(EOFError, OSError):
            await stream.receive()
            while True:
                opened = await stream.receive()
                await self.answer(stream, opened.request_id)
        stream.close()

    async def answer(self, stream: FrameStream, call_id: int) -> None:
        """Answer a call."""
        for frame in self.frames:
            stream.enqueue(frame, call_id)
        await stream.drain()


def _ignore(*_: object) -> None:
    """Do nothing with a load, or when a call may run."""


@asynccontextmanager
async def _linked(node: _FaultyNode) -> AsyncIterator[PeerCallLink]:
    """Run a node, and yield a link to it."""
    server = await asyncio.start_server(node.serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    link = PeerCallLink(f'{host}:{port}', node_settings(), _ignore)
    async with server:
        yield link
        link.close()
        # Lets both ends of the streams close before the loop ends.
        await asyncio.sleep(0.01)


async def test_long_fault_is_cut() -> None:
    """Guards against a node that fills the memory, the log or the names of
    metrics of the caller's node with the text of a fault.
    """
    failed = CallFailed(kind=_LONG, not_run=True, detail=_LONG, load=_LOAD)
    async with _linked(_FaultyNode(failed)) as link:
        with pytest.raises(PlacementFault) as raised:
            async with asyncio.timeout(_TIME_S):
                await link.run(call_open(), _ignore)
    assert raised.value.kind == 'broken'
    assert raised.value.not_run
    assert not raised.value.arrived
    assert raised.value.detail.startswith('xxx')
    assert len(str(raised.value)) < 1000

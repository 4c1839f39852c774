"""Node that answers calls with frames that a sound one does not send."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Final

from mustardspur_core.mesh.call_messages import TargetLoad
from mustardspur_core.record import Record
from mustardspur_core.wire import FrameStream
from mustardspur_node.mesh.outgoing_bodies import Uplink
from mustardspur_node.mesh.peer_link import PeerCallLink

from tests.node.mesh.builders import node_settings

LOAD: Final = TargetLoad(
    running=0,
    waiting=0,
    slots=4,
    run_ms=5,
    failure_rate=0,
    open=True,
    link_wait_ms=0,
)


class FaultyNode:
    """Node that answers each call with the same frames.

    Parameters
    ----------
    *frames : Record
        Frames of the answer.
    """

    def __init__(self, *frames: Record) -> None:
        """Initialise without streams."""
        self.frames = frames
        self.streams = 0
        self.sent_bytes = 0

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve a stream until it ends."""
        stream = FrameStream(reader, writer)
        self.streams += 1
        with suppress(EOFError, OSError, asyncio.CancelledError):
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


def ignore(*_: object) -> None:
    """Do nothing with a load, or when a call may run."""


@asynccontextmanager
async def serving_node(node: FaultyNode) -> AsyncIterator[str]:
    """Run a node, and yield its address."""
    server = await asyncio.start_server(node.serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    async with server:
        yield f'{host}:{port}'
        # Lets both ends of the streams close before the loop ends.
        await asyncio.sleep(0.01)


@asynccontextmanager
async def linked_node(
    node: FaultyNode,
    uplink: Uplink | None = None,
) -> AsyncIterator[PeerCallLink]:
    """Run a node, and yield a link to it."""
    async with serving_node(node) as address:
        link = PeerCallLink(address, node_settings(), ignore, uplink)
        yield link
        link.close()

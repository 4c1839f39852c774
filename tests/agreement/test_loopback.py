"""Guards against the fakes hiding what real sockets and files do."""

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

from mustardspur_agreement import PeerGreeting, ReplicatedLog, running_log
from mustardspur_core.metrics import NullMetrics
from mustardspur_core.wire import FrameStream

from tests.agreement.cluster import (
    Details,
    History,
    ListMachine,
    peer_row,
    settings_of,
)

HANG_S = 60
POLL_S = 0.01


class _Node:
    """One instance on real files and sockets."""

    def __init__(self, name: str, folder: Path) -> None:
        self._bound = socket.socket()
        self._bound.bind(('127.0.0.1', 0))
        port = self._bound.getsockname()[1]
        self.row = peer_row(name, voter=True, region='erie')
        self.row['stream'] = f'127.0.0.1:{port}'
        self._folder = folder / name
        self._stack = AsyncExitStack()
        self.machine = ListMachine(History())
        self.log: ReplicatedLog | None = None

    async def start(self, rows: list[Details]) -> None:
        self.log = await self._stack.enter_async_context(self._running(rows))

    async def stop(self) -> None:
        await self._stack.aclose()

    async def current(self) -> int:
        assert self.log is not None
        while True:
            barrier = await self.log.read_barrier()
            if barrier.is_ok() and self.log.is_trusted:
                return barrier.ok
            await asyncio.sleep(POLL_S)

    @asynccontextmanager
    async def _running(
        self,
        rows: list[Details],
    ) -> AsyncIterator[ReplicatedLog]:
        settings = settings_of(
            self.row['id'],
            rows,
            data_dir=str(self._folder),
        )
        async with running_log(
            settings,
            self.machine,
            History(),
            NullMetrics(),
        ) as log:
            async with await asyncio.start_server(
                self._accept,
                sock=self._bound,
            ):
                yield log

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        assert self.log is not None
        stream = FrameStream(reader, writer)
        frame = await stream.receive()
        assert isinstance(frame.body, PeerGreeting)
        await self.log.serve(stream, frame.body)


async def _leader(nodes: list[_Node]) -> _Node:
    while True:
        for node in nodes:
            if node.log and node.log.is_leader:
                return node
        await asyncio.sleep(POLL_S)


async def _propose(nodes: list[_Node], entry: bytes) -> int:
    while True:
        node = await _leader(nodes)
        assert node.log is not None
        outcome = await node.log.propose(entry)
        if outcome.is_ok():
            return outcome.ok.index
        await asyncio.sleep(POLL_S)


async def _entries_after_one_more(folder: Path) -> dict[int, bytes]:
    node = _Node('c1', folder)
    async with asyncio.timeout(HANG_S):
        await node.start([node.row])
        await _propose([node], b'entry')
        await node.stop()
    return node.machine.entries


async def test_three_logs_outlive_their_leader(tmp_path: Path) -> None:
    """Guards against a committed entry going with the leader that has it."""
    nodes = [_Node(name, tmp_path) for name in ('c1', 'c2', 'c3')]
    rows = [node.row for node in nodes]
    async with asyncio.timeout(HANG_S):
        await asyncio.gather(*(node.start(rows) for node in nodes))
        await _propose(nodes, b'before')
        await asyncio.gather(*(node.current() for node in nodes))
        killed = await _leader(nodes)
        await killed.stop()
        nodes.remove(killed)
        index = await _propose(nodes, b'after')
        current = await asyncio.gather(*(node.current() for node in nodes))
        assert min(current) >= index
        for survivor in nodes:
            assert b'before' in survivor.machine.entries.values()
        await asyncio.gather(*(node.stop() for node in nodes))


async def test_single_voter_restarts_from_its_folder(tmp_path: Path) -> None:
    """Guards against a lone instance forgetting what it has answered."""
    before = await _entries_after_one_more(tmp_path)
    after = await _entries_after_one_more(tmp_path)
    assert (len(before), len(after)) == (1, 2)

"""Guards against faults that appear only with real sockets and files."""

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
    instance_settings,
    peer_settings,
)

TEST_TIMEOUT_S = 60
POLL_INTERVAL_S = 0.01


class _LoopbackInstance:
    """One instance on real files and sockets."""

    def __init__(self, name: str, folder: Path) -> None:
        self._socket = socket.socket()
        self._socket.bind(('127.0.0.1', 0))
        port = self._socket.getsockname()[1]
        self.peer = peer_settings(name, voter=True, region='erie')
        self.peer['stream'] = f'127.0.0.1:{port}'
        self._folder = folder / name
        self._stack = AsyncExitStack()
        self.machine = ListMachine(History())
        self.log: ReplicatedLog | None = None

    async def start(self, peers: list[Details]) -> None:
        self.log = await self._stack.enter_async_context(self._run_log(peers))

    async def stop(self) -> None:
        await self._stack.aclose()

    async def confirmed_read_index(self) -> int:
        assert self.log is not None
        while True:
            barrier = await self.log.read_barrier()
            if barrier.is_ok() and self.log.is_trusted:
                return barrier.ok
            await asyncio.sleep(POLL_INTERVAL_S)

    @asynccontextmanager
    async def _run_log(
        self,
        peers: list[Details],
    ) -> AsyncIterator[ReplicatedLog]:
        settings = instance_settings(
            self.peer['id'],
            peers,
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
                sock=self._socket,
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


async def _leader(instances: list[_LoopbackInstance]) -> _LoopbackInstance:
    while True:
        for instance in instances:
            if instance.log and instance.log.is_leader:
                return instance
        await asyncio.sleep(POLL_INTERVAL_S)


async def _propose(instances: list[_LoopbackInstance], entry: bytes) -> int:
    while True:
        instance = await _leader(instances)
        assert instance.log is not None
        outcome = await instance.log.propose(entry)
        if outcome.is_ok():
            return outcome.ok.index
        await asyncio.sleep(POLL_INTERVAL_S)


async def _entries_after_proposal(folder: Path) -> dict[int, bytes]:
    instance = _LoopbackInstance('c1', folder)
    async with asyncio.timeout(TEST_TIMEOUT_S):
        await instance.start([instance.peer])
        await _propose([instance], b'entry')
        await instance.stop()
    return instance.machine.entries


async def test_entries_survive_loss_of_the_leader(tmp_path: Path) -> None:
    """Guards against losing a committed entry together with the leader."""
    instances = [
        _LoopbackInstance(name, tmp_path) for name in ('c1', 'c2', 'c3')
    ]
    peers = [instance.peer for instance in instances]
    async with asyncio.timeout(TEST_TIMEOUT_S):
        await asyncio.gather(*(instance.start(peers) for instance in instances))
        await _propose(instances, b'before')
        await asyncio.gather(
            *(instance.confirmed_read_index() for instance in instances)
        )
        stopped = await _leader(instances)
        await stopped.stop()
        instances.remove(stopped)
        index = await _propose(instances, b'after')
        current = await asyncio.gather(
            *(instance.confirmed_read_index() for instance in instances)
        )
        assert min(current) >= index
        for remaining in instances:
            assert b'before' in remaining.machine.entries.values()
        await asyncio.gather(*(instance.stop() for instance in instances))


async def test_single_voter_restarts_from_its_folder(tmp_path: Path) -> None:
    """Guards against a single voter that loses acknowledged entries."""
    before = await _entries_after_proposal(tmp_path)
    after = await _entries_after_proposal(tmp_path)
    assert (len(before), len(after)) == (1, 2)

"""Tests of a planned stop of a node that gets no processor time for a while."""

import asyncio
import os
import signal
import time
from collections import Counter
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Final

import pytest

from tests.platform.mesh_processes import (
    HANG_LIMIT_S,
    HOST,
    Mesh,
    configuration,
    running_mesh,
    running_target,
)

_CONTROLS: Final = ('127.0.7.1', '127.0.7.2', '127.0.7.3')
_NODE: Final = '127.0.7.21'
_TARGET_NODE: Final = '127.0.7.22'
_OTHER_NODE: Final = '127.0.7.23'
_GRACE_S: Final = 4.0
_LONG_GRACE_S: Final = 6.0
# Slots of a target, see `Mesh.report`.
_SLOTS: Final = 4
_OPENED: Final = 12
_PIPELINED: Final = 3
_PATH: Final = 'drafts/1'
_CALLER_WAIT_MS: Final = 10_000
_INNER_WAIT_MS: Final = 500


class _Connection:
    """A connection that its caller keeps."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    def send(
        self,
        body_bytes: int = 0,
        body: bytes = b'',
        wait_ms: int = _CALLER_WAIT_MS,
    ) -> None:
        """Send a request, or the part of it that has the given body."""
        head = (
            f'POST /{_PATH} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r\r\n'
            f'Deadline-Ms: {wait_ms}\r\n'
            f'Content-Length: {body_bytes}\r\n\r\n'
        )
        self._writer.write(head.encode() + body)

    def send_rest(self, body: bytes) -> None:
        """Send the rest of a body."""
        self._writer.write(body)

    async def call(self) -> str:
        """Send a request and return the status of its answer."""
        self.send()
        return await self.status()

    async def status(self) -> str:
        """Return the status of the next answer, empty if there is none."""
        async with asyncio.timeout(HANG_LIMIT_S):
            with suppress(OSError, EOFError):
                head = (await self._reader.readuntil(b'\r\n\r\n')).decode()
                length = head.lower().partition('content-length: ')[2]
                await self._reader.readexactly(int(length.split('\r')[0]))
                return head.split()[1]
        return ''


@asynccontextmanager
async def _serving(
    folder: Path,
    run_s: float,
    grace_s: float = _GRACE_S,
    route: Mapping[str, str] | None = None,
) -> AsyncIterator[Mesh]:
    """Run a node, and another one beside the target."""
    async with running_mesh(folder) as mesh:
        controls = (
            mesh.start_control(host, first_start=True) for host in _CONTROLS
        )
        await asyncio.gather(*controls)
        await mesh.start_node(_NODE, grace=f'{grace_s}s')
        await mesh.start_node(_TARGET_NODE, grace=f'{_GRACE_S}s')
        document = configuration(3)
        document['routes']['drafts'].update(timeout='9s', **(route or {}))
        await mesh.until(
            'PUT',
            mesh.url(_CONTROLS[0], 'http', '/api/config'),
            json=document,
            headers={'If-Match': 'r0'},
        )
        async with running_target(mesh, _TARGET_NODE, run_s):
            await mesh.report(_TARGET_NODE)
            await mesh.until('GET', mesh.url(_NODE, 'ready', '/api/readyz'))
            yield mesh


async def _used_connection(mesh: Mesh, node: str = _NODE) -> _Connection:
    """Return a connection on which a call was answered with success."""
    async with asyncio.timeout(HANG_LIMIT_S):
        while True:
            connection = await _connect(mesh, node)
            connection.send()
            if await connection.status() == '200':
                return connection
            await asyncio.sleep(0.1)


async def _connect(mesh: Mesh, node: str) -> _Connection:
    address = (node, mesh.ports['http'])
    return _Connection(*await asyncio.open_connection(*address))


class _Stop:
    """A planned stop, which ends with a kill after the grace time.

    Attributes
    ----------
    exit_code : asyncio.Task
        The exit code of the process.
    """

    def __init__(
        self,
        mesh: Mesh,
        node: str = _NODE,
        grace_s: float = _GRACE_S,
    ) -> None:
        """Send the stop signal."""
        self._grace_s = grace_s
        self._process = mesh.processes.pop(node)
        self._started_s = time.monotonic()
        self.send(signal.SIGTERM)
        self.exit_code = asyncio.create_task(self._end())

    async def until(self, after_s: float) -> None:
        """Wait until a time after the signal."""
        await asyncio.sleep(self._started_s + after_s - time.monotonic())

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        os.kill(self._process.pid, number)

    async def _end(self) -> int:
        with suppress(TimeoutError):
            async with asyncio.timeout(self._grace_s):
                return await self._process.wait()
        self._process.kill()
        return await self._process.wait()


async def test_ready_answer_is_delivered_after_a_pause(tmp_path: Path) -> None:
    """Guards against an answer that is ready but not delivered, as the node got
    no processor time until the end of its grace time.
    """
    async with _serving(tmp_path, 3.4, _LONG_GRACE_S) as mesh:
        connection = await _used_connection(mesh)
        stop = _Stop(mesh, grace_s=_LONG_GRACE_S)
        await stop.until(1.3)
        connection.send()
        await stop.until(3.9)
        stop.send(signal.SIGSTOP)
        await stop.until(5.25)
        stop.send(signal.SIGCONT)
        assert await connection.status() == '200'
        assert await stop.exit_code == 0


async def test_call_outlives_the_pause_of_another_node(tmp_path: Path) -> None:
    """Guards against a call that a stopping node answers itself, as the node of
    its target gets no processor time while the target is at work.
    """
    async with _serving(tmp_path, run_s=0.5) as mesh:
        connection = await _used_connection(mesh)
        connection.send()
        await asyncio.sleep(0.2)
        mesh.processes[_TARGET_NODE].send_signal(signal.SIGSTOP)
        stop = _Stop(mesh)
        await stop.until(2.2)
        mesh.processes[_TARGET_NODE].send_signal(signal.SIGCONT)
        assert await connection.status() == '200'
        assert await stop.exit_code == 0


async def test_target_at_work_can_call_at_a_stop(tmp_path: Path) -> None:
    """Guards against calls that fail as the node beside their target accepts
    none of the calls that the target makes within them.
    """
    async with (
        _serving(tmp_path, run_s=2.9) as mesh,
        running_target(mesh, _OTHER_NODE),
    ):
        outer = await _used_connection(mesh)
        await mesh.start_node(_OTHER_NODE)
        await mesh.report(_OTHER_NODE)
        outer.send()
        stop = _Stop(mesh, _TARGET_NODE)
        await stop.until(2.6)
        inner = await _connect(mesh, _TARGET_NODE)
        inner.send(wait_ms=_INNER_WAIT_MS)
        assert await inner.status() in {'200', '503', '504'}
        assert await outer.status() == '200'
        assert await stop.exit_code == 0


async def test_request_of_a_pause_is_answered(tmp_path: Path) -> None:
    """Guards against a kept connection that a stopping node closes although a
    request arrived on it while the node got no processor time.
    """
    async with _serving(tmp_path, run_s=0.1) as mesh:
        connection = await _used_connection(mesh)
        stop = _Stop(mesh)
        await stop.until(1.4)
        stop.send(signal.SIGSTOP)
        connection.send()
        await stop.until(2.6)
        stop.send(signal.SIGCONT)
        assert await connection.status() in {'200', '503'}
        assert await stop.exit_code == 0


async def test_grace_time_counts_from_the_signal(tmp_path: Path) -> None:
    """Guards against a call that is placed so late that the kill at the end of
    the grace time cuts it off, as the signal was handled late.
    """
    async with _serving(tmp_path, run_s=1.8) as mesh:
        connection = await _used_connection(mesh)
        os.kill(mesh.processes[_NODE].pid, signal.SIGSTOP)
        await asyncio.sleep(0.1)
        stop = _Stop(mesh)
        await stop.until(1.2)
        stop.send(signal.SIGCONT)
        connection.send(2, b'a')
        await stop.until(2.5)
        connection.send_rest(b'b')
        assert await connection.status() == '503'
        assert await stop.exit_code == 0


async def test_late_signal_leaves_time_for_the_exit(tmp_path: Path) -> None:
    """Guards against a node that is killed after its last answer, as it went
    on listening and waited for its callers to close.
    """
    async with _serving(tmp_path, run_s=0) as mesh:
        connection = await _used_connection(mesh)
        os.kill(mesh.processes[_NODE].pid, signal.SIGSTOP)
        await asyncio.sleep(0.1)
        stop = _Stop(mesh)
        connection.send()
        await stop.until(2.2)
        stop.send(signal.SIGCONT)
        assert await connection.status() in {'200', '503'}
        assert await stop.exit_code == 0


async def test_waiting_call_is_refused_rather_than_cut_off(
    tmp_path: Path,
) -> None:
    """Guards against a call that waits for a slot of a target, gets it late in
    the grace time, and is cut off when the process ends.
    """
    route = {'target_latency': '30s', 'kind': 'non_idempotent'}
    async with _serving(tmp_path, run_s=2.0, route=route) as mesh:
        used = (_used_connection(mesh) for _ in range(_SLOTS + 1))
        connections = await asyncio.gather(*used)
        stop = _Stop(mesh)
        await stop.until(0.3)
        statuses = map(_Connection.call, connections)
        assert Counter(await asyncio.gather(*statuses)) == {
            '200': _SLOTS,
            '503': 1,
        }
        assert await stop.exit_code == 0


@pytest.mark.parametrize('node', [_NODE, _TARGET_NODE])
async def test_pipelined_calls_are_answered_at_the_end(
    tmp_path: Path,
    node: str,
) -> None:
    """Guards against calls at the target of another node, or of the stopping
    one, that get no answer at the end of the grace time.
    """
    async with (
        _serving(tmp_path, run_s=4.0) as mesh,
        running_target(mesh, _OTHER_NODE, run_s=4.0),
    ):
        await mesh.start_node(_OTHER_NODE)
        await mesh.report(_OTHER_NODE)
        connection = await _used_connection(mesh, node)
        for _ in range(_PIPELINED):
            connection.send()
        await asyncio.sleep(0.2)
        stop = _Stop(mesh, node)
        statuses: list[str] = []
        while len(statuses) < _PIPELINED:
            statuses.append(await connection.status())
        assert statuses == ['502' for _ in range(_PIPELINED)]
        assert await stop.exit_code == 0


async def test_connections_of_a_pause_are_answered(tmp_path: Path) -> None:
    """Guards against connections that a stopping node resets although it was
    still listening when they were made, while it got no processor time.
    """
    async with _serving(tmp_path, run_s=0) as mesh:
        await _used_connection(mesh)
        stop = _Stop(mesh)
        await stop.until(1.4)
        stop.send(signal.SIGSTOP)
        address = (_NODE, mesh.ports['http'])
        opened = (asyncio.open_connection(*address) for _ in range(_OPENED))
        connections = [
            _Connection(*streams) for streams in await asyncio.gather(*opened)
        ]
        statuses = asyncio.gather(*map(_Connection.call, connections))
        await stop.until(2.6)
        stop.send(signal.SIGCONT)
        assert set(await statuses) <= {'200', '503'}
        assert await stop.exit_code == 0


async def test_successor_starts_while_the_former_drains(tmp_path: Path) -> None:
    """Guards against a successor at the same address that has to wait until
    the former process has answered its last request, and against requests on
    kept connections of the former that get lost by it.
    """
    async with _serving(tmp_path, run_s=3.5, grace_s=_LONG_GRACE_S) as mesh:
        used = (_used_connection(mesh) for _ in range(_PIPELINED))
        connections = await asyncio.gather(*used)
        stop = _Stop(mesh, grace_s=_LONG_GRACE_S)
        await mesh.start_node(_NODE, grace=f'{_LONG_GRACE_S}s')
        await stop.until(1.2)
        statuses = asyncio.gather(*map(_Connection.call, connections))
        await mesh.until_logged(_NODE, 'start waits')
        await mesh.until_logged(_NODE, 'start continues')
        await asyncio.sleep(0.2)
        assert not statuses.done()
        # It tries one address after the other, the one for callers first.
        text = (tmp_path / f'{_NODE}.log').read_text('utf-8')
        assert text.count('start waits') == 1
        assert set(await statuses) == {'200'}
        assert await stop.exit_code == 0
        await mesh.until('GET', mesh.url(_NODE, 'ready', '/api/readyz'))
        await _used_connection(mesh)

"""Tests of crowds of clients that keep to all limits."""

import asyncio
import json
from collections import Counter, deque
from collections.abc import Awaitable, Sequence
from contextlib import closing, suppress
from itertools import repeat
from pathlib import Path
from typing import Final

import pytest

from tests.platform.crowds.limited_mesh import (
    CONTROL,
    MAX_BODY_BYTES,
    NODE,
    SLOTS,
    Usage,
    limited_configuration,
    limited_mesh,
    ordinary_requests,
    put_configuration,
    watched,
)
from tests.platform.mesh_processes import HANG_LIMIT_S, HOST, Mesh, report_of

_CLIENTS: Final = 100
_LARGE_ANSWER: Final = 1_000_000
_READ_BYTES: Final = 65_536
_READ_PAUSE_S: Final = 0.05
_OPERATORS: Final = 8
_LARGE_ROUTES: Final = 4_000
_REPORTS: Final = 60


class _Client:
    """One client's connection, which counts the answers that it gets.

    Attributes
    ----------
    unanswered : int
        Requests whose answer was not complete when the connection ended.
    """

    __slots__ = ('_address', '_pause_s', 'statuses', 'unanswered')

    def __init__(self, address: tuple[str, int], pause_s: float = 0) -> None:
        self._address = address
        self._pause_s = pause_s
        self.statuses: list[int] = []
        self.unanswered = 0

    async def send(self, requests: list[bytes]) -> None:
        """Send requests without a wait for their answers."""
        self.unanswered = len(requests)
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(*self._address)
            with closing(writer):
                sending = asyncio.create_task(_write(writer, deque(requests)))
                await self._read_answers(reader)
                sending.cancel()

    async def _read_answers(self, reader: asyncio.StreamReader) -> None:
        while self.unanswered:
            head = (await reader.readuntil(b'\r\n\r\n')).lower()
            left = int(head.partition(b'content-length: ')[2].split()[0])
            while left:
                part = await reader.readexactly(min(left, _READ_BYTES))
                left -= len(part)
                await asyncio.sleep(self._pause_s)
            self.statuses.append(int(head.split()[1]))
            self.unanswered -= 1
            if b'connection: close' in head:
                # Those behind it count as not read, and are sent again.
                self.unanswered = 0


async def _write(writer: asyncio.StreamWriter, parts: deque[bytes]) -> None:
    with suppress(ConnectionError):
        while parts:
            writer.write(parts.popleft())
            await writer.drain()


def _request(
    method: str, path: str, body: bytes = b'', is_chunked: bool = False
) -> bytes:
    length = f'Content-Length: {len(body)}'
    if is_chunked:
        length = 'Transfer-Encoding: chunked'
        chunk_head = f'{len(body):x}\r\n'.encode()
        body = b''.join((chunk_head, body, b'\r\n0\r\n\r\n'))
    lines = (
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        'Request-Id: crowd',
        'Deadline-Ms: 6000',
        # The version of the configuration before that of an operator.
        'If-Match: r2',
        'Content-Type: application/json',
        length,
    )
    head = '\r\n'.join(lines)
    return f'{head}\r\n\r\n'.encode() + body


async def _play(
    mesh: Mesh, host: str, crowd: Sequence[Awaitable[None]]
) -> Usage:
    """Let all clients of a crowd come at once, and an ordinary one after."""
    async with watched(mesh, host) as usage:
        async with asyncio.timeout(HANG_LIMIT_S):
            await asyncio.gather(*crowd)
        await ordinary_requests(mesh, host, usage)
        return usage


def _check(usage: Usage, clients: list[_Client]) -> None:
    unanswered = sum(client.unanswered for client in clients)
    statuses = [status for client in clients for status in client.statuses]
    # Shown where a check fails.
    print(usage.peak_mib, unanswered, Counter(statuses))  # noqa: WPS421
    assert unanswered == 0
    usage.check()


async def test_callers_that_read_slowly(tmp_path: Path) -> None:
    """Guards against a node that is killed for the answers that it holds."""
    async with limited_mesh(tmp_path, _LARGE_ANSWER) as mesh:
        address = (NODE, mesh.ports['http'])
        clients = [_Client(address, _READ_PAUSE_S) for _ in range(_CLIENTS)]
        requests = list(repeat(_request('GET', '/drafts/1'), 3))
        crowd = [client.send(requests) for client in clients]
        usage = await _play(mesh, NODE, crowd)
    _check(usage, clients)


@pytest.mark.parametrize(('size', 'count'), [(60_000, 60), (MAX_BODY_BYTES, 1)])
@pytest.mark.parametrize('is_chunked', [False, True])
async def test_callers_that_upload(
    size: int, count: int, is_chunked: bool, tmp_path: Path
) -> None:
    """Guards against a node that is killed for the bodies that it holds."""
    async with limited_mesh(tmp_path) as mesh:
        address = (NODE, mesh.ports['http'])
        clients = [_Client(address) for _ in range(_CLIENTS)]
        request = _request('POST', '/drafts/1', bytes(size), is_chunked)
        crowd = [
            client.send(list(repeat(request, count))) for client in clients
        ]
        usage = await _play(mesh, NODE, crowd)
    _check(usage, clients)


async def test_operators_with_large_configurations(tmp_path: Path) -> None:
    """Guards against a control instance that is killed for configurations
    that eight operators put while others read slowly.
    """
    async with limited_mesh(tmp_path) as mesh:
        await put_configuration(mesh, limited_configuration(2, _LARGE_ROUTES))
        address = (CONTROL, mesh.ports['http'])
        document = limited_configuration(3, _LARGE_ROUTES)
        body = json.dumps(document).encode()
        order = _request('PUT', '/api/config', body)
        operators = [_Client(address) for _ in range(_OPERATORS)]
        readers = [_Client(address, _READ_PAUSE_S) for _ in range(_CLIENTS)]
        crowd = [
            *(operator.send([order]) for operator in operators),
            *(
                reader.send([_request('GET', '/api/config')])
                for reader in readers
            ),
        ]
        usage = await _play(mesh, CONTROL, crowd)
    _check(usage, operators)
    _check(usage, readers)


async def test_reports_of_a_target(tmp_path: Path) -> None:
    """Guards against a node that is killed for reports that come at once."""
    async with limited_mesh(tmp_path) as mesh:
        address = (NODE, mesh.ports['targets'])
        clients = [_Client(address) for _ in range(_CLIENTS)]
        path = f'/api/instances/i-{NODE}'
        reports = [
            _request(
                'PUT',
                path,
                json.dumps(
                    report_of(
                        NODE, mesh.ports['target'], slots=SLOTS, sequence=number
                    )
                ).encode(),
            )
            for number in range(2, _REPORTS)
        ]
        crowd = [client.send(reports) for client in clients]
        usage = await _play(mesh, NODE, crowd)
    _check(usage, clients)

"""Tests of single requests that are as large as the limits allow."""

import asyncio
import json
from contextlib import closing
from pathlib import Path
from typing import Final

import pytest

from tests.platform.crowds.crowd import CALLERS, OPERATORS, Listener
from tests.platform.crowds.floods import Client
from tests.platform.crowds.limited_mesh import (
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    limited_configuration,
    limited_mesh,
    watched,
)
from tests.platform.mesh_processes import HANG_LIMIT_S, Mesh

_PIECE_BYTES: Final = 100_000
_LARGE_ROUTES: Final = 4_000
_SHORT_LINE: Final = 'a: b'
_LONG_LINE: Final = 'a: {0}'.format('b' * 5_000)


def _padded_head(client: Client, length: str, line: str) -> bytes:
    """Return a head of the largest size, filled up with copies of a line."""
    left = MAX_HEADER_BYTES - len(client.head(length))
    count, rest = divmod(left, len(line) + 2)
    lines = [line for _ in range(count)]
    lines[-1] += 'b' * rest
    return client.head(length, *lines)


async def _status(mesh: Mesh, listener: Listener, request: bytes) -> bytes:
    """Send a request in pieces; return the status of its answer."""
    reader, writer = await asyncio.open_connection(
        listener.host, mesh.ports[listener.port]
    )
    with closing(writer):
        left = request
        while left:
            writer.write(left[:_PIECE_BYTES])
            left = left[_PIECE_BYTES:]
            await writer.drain()
        async with asyncio.timeout(HANG_LIMIT_S):
            answer = await reader.readline()
    return answer.split()[1]


@pytest.mark.parametrize('is_chunked', [False, True], ids=['sized', 'chunked'])
@pytest.mark.parametrize(
    'line', [_LONG_LINE, _SHORT_LINE], ids=['long', 'short']
)
async def test_largest_call(
    line: str, is_chunked: bool, tmp_path: Path
) -> None:
    """Guards against a limit that refuses a call inside the stated ones."""
    client = Client(CALLERS.method, CALLERS.path, 1)
    body = bytes(MAX_BODY_BYTES)
    length = f'Content-Length: {MAX_BODY_BYTES}'
    if is_chunked:
        length = 'Transfer-Encoding: chunked'
        body = b''.join((b'%x\r\n' % len(body), body, b'\r\n0\r\n\r\n'))
    request = _padded_head(client, length, line) + body
    async with (
        limited_mesh(tmp_path) as mesh,
        watched(mesh, CALLERS.host) as usage,
    ):
        status = await _status(mesh, CALLERS, request)
    assert status == b'200'
    usage.check()  # noqa: WPS441


async def test_large_configuration(tmp_path: Path) -> None:
    """Guards against a limit that refuses a configuration of many routes."""
    client = Client(OPERATORS.method, OPERATORS.path, 1)
    document = limited_configuration(2, _LARGE_ROUTES)
    body = json.dumps(document).encode()
    async with (
        limited_mesh(tmp_path) as mesh,
        watched(mesh, OPERATORS.host) as usage,
    ):
        request = client.sized(len(body)) + body
        status = await _status(mesh, OPERATORS, request)
    assert status == b'200'
    usage.check()  # noqa: WPS441

"""Guards against request smuggling."""

import asyncio
import re
from functools import partial
from itertools import repeat

import pytest
from aiohttp import web
from mustardspur_core.held_bytes import HeldBytes
from mustardspur_node.calls import call_connections

from tests.node.stand_ins.mesh import HANG_S, run_mesh, run_target
from tests.node.stand_ins.views import make_target, make_view

STOCK = 'GET /stock HTTP/1.1'
POST = 'POST /prescriptions HTTP/1.1'
CHUNKS = 'transfer-encoding: chunked'
# A reason may name a version of HTTP.
_STATUS_LINE = re.compile(rb'HTTP/1\.\d \d{3} ')
NO_CHUNK = '0\r\n\r\n'
# Name, lines of the head, body.
FAULTS = (
    ('length and chunks', (POST, 'content-length: 4', CHUNKS), NO_CHUNK),
    ('two lengths', (POST, 'content-length: 1', 'content-length: 2'), 'ab'),
    ('equal lengths', (POST, 'content-length: 1', 'content-length: 1'), 'a'),
    ('signed length', (POST, 'content-length: +1'), 'a'),
    ('list of lengths', (POST, 'content-length: 1, 1'), 'a'),
    ('negative length', (POST, 'content-length: -1'), ''),
    ('other encoding', (POST, 'transfer-encoding: gzip'), ''),
    ('encoding after', (POST, f'{CHUNKS}, identity'), NO_CHUNK),
    ('two encodings', (POST, CHUNKS, CHUNKS), NO_CHUNK),
    ('hidden encoding', (POST, 'transfer-encoding: \x0bchunked'), NO_CHUNK),
    ('space before colon', (POST, 'content-length : 1'), 'a'),
    ('folded header', (POST, 'x-a: 1', ' b', 'content-length: 0'), ''),
    ('null in header', (POST, 'x-a: \x00', 'content-length: 0'), ''),
    ('bad chunk size', (POST, CHUNKS), 'zz\r\na\r\n0\r\n\r\n'),
    ('chunk beyond its size', (POST, CHUNKS), '1\r\nab\r\n0\r\n\r\n'),
    ('chunk size overflow', (POST, CHUNKS), '10000000000000001\r\na\r\n'),
    ('old version', ('POST /prescriptions HTTP/1.0', CHUNKS), NO_CHUNK),
    ('two hosts', (STOCK, 'host: other'), ''),
    ('absolute target', ('GET http://b/stock HTTP/1.1',), ''),
    ('authority target', ('CONNECT b:1 HTTP/1.1',), ''),
    ('trace', ('TRACE /stock HTTP/1.1',), ''),
    ('dot segments', ('GET /stock/../admin HTTP/1.1',), ''),
    ('encoded dots', ('GET /stock/%2E%2e/a HTTP/1.1',), ''),
    ('oversized header', (STOCK, 'x: '.ljust(9000, 'a')), ''),
    ('too many headers', (STOCK, *(f'x: {line}' for line in range(200))), ''),
    ('oversized target', ('GET /'.ljust(9000, 'a'),), ''),
    ('not HTTP', ('\x16\x03\x01\x02',), ''),
    ('too long a body', (POST, 'content-length: 99999999999'), ''),
)


def _request(lines: tuple[str, ...], body: str) -> bytes:
    head = '\r\n'.join((lines[0], 'host: n', *lines[1:]))
    return f'{head}\r\n\r\n{body}'.encode('latin-1')


@pytest.mark.parametrize(
    ('lines', 'body'),
    [fault[1:] for fault in FAULTS],
    ids=[fault[0] for fault in FAULTS],
)
async def test_ambiguous_request_is_refused_as_not_run(
    lines: tuple[str, ...], body: str
) -> None:
    """Guards against reading the rest of a request as the next call."""
    calls: list[str] = []

    async def factory(request: web.BaseRequest) -> web.Response:
        calls.append(request.path)
        await request.read()
        return web.Response()

    smuggled = _request(('GET /stock/smuggled HTTP/1.1',), '')
    sent = _request(lines, body)
    async with run_target(factory) as address:
        async with run_mesh(make_view([make_target(address)])) as mesh:
            received = await mesh.raw(b''.join((sent, smuggled)))
    assert received[9:12] in {b'400', b'413'}
    assert b'x-mustardspur-outcome: not-run' in received
    assert len(_STATUS_LINE.findall(received)) == 1
    assert not calls


async def test_request_without_host_is_refused() -> None:
    """Guards against a request whose host each parser sets differently."""
    async with run_mesh(make_view([make_target('127.0.0.1:1')])) as mesh:
        received = await mesh.raw(b'GET /stock HTTP/1.1\r\n\r\n')
    assert b' 400 ' in received
    assert b'x-mustardspur-outcome: not-run' in received


@pytest.mark.parametrize(
    ('lines', 'body'),
    [
        ((POST, 'content-length: 5'), 'ab'),
        ((POST, CHUNKS), '5\r\nab'),
        ((POST, CHUNKS), '2\r\nab\r\n'),
    ],
)
async def test_truncated_request_reaches_no_target(
    lines: tuple[str, ...],
    body: str,
) -> None:
    """Guards against forwarding an incomplete request."""
    calls: list[str] = []

    async def factory(request: web.BaseRequest) -> web.Response:
        calls.append(request.path)
        return web.Response()

    async with run_target(factory) as address:
        async with run_mesh(make_view([make_target(address)])) as mesh:
            await mesh.send_and_close(_request(lines, body))
            assert await mesh.call('GET', '/stock') == (200, None, b'')
    assert calls == ['/stock']


async def test_long_head_of_short_lines_is_refused() -> None:
    """Guards against a head of which only the lines are bounded."""
    line = 'x: '.ljust(4000, 'a')
    lines = (STOCK, *repeat(line, 99))
    async with run_mesh(make_view([make_target('127.0.0.1:1')])) as mesh:
        received = await mesh.raw(_request(lines, ''))
    assert received[9:12] == b'431'
    assert b'x-mustardspur-outcome: not-run' in received
    assert b'{"outcome": "not-run"' in received


async def test_call_beyond_the_connections_is_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a refused connection whose caller may not resend."""
    monkeypatch.setattr(call_connections, 'max_callers', lambda _: 0)
    async with run_mesh(make_view([make_target('127.0.0.1:1')])) as mesh:
        received = await mesh.raw(_request((STOCK,), ''))
    assert received[9:12] == b'503'
    assert b'x-mustardspur-outcome: not-run' in received


async def test_open_heads_are_bounded_together(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against heads that are not completed on many connections."""
    # The account of a process of 1 MiB has room for one head.
    monkeypatch.setattr(call_connections, 'HeldBytes', partial(HeldBytes, 1))
    head = _request((STOCK, *repeat('x: '.ljust(4000, 'a'), 8)), '')[:-2]
    async with run_mesh(make_view([make_target('127.0.0.1:1')])) as mesh:
        opened = [asyncio.create_task(mesh.raw(head)) for _ in range(8)]
        done: set[asyncio.Task[bytes]] = set()
        async with asyncio.timeout(HANG_S):
            while len(done) < len(opened) - 1:
                done, _ = await asyncio.wait(opened, timeout=0.1)
        answer = await mesh.call('GET', '/stock')
        for left in opened:
            left.cancel()
    assert answer[:2] == (503, 'not-run')
    assert {task.result() for task in done} == {b''}

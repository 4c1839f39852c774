"""Tests of the server for callers as a whole."""

import asyncio
import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from mustardspur_core.mesh import ClientAccount
from mustardspur_core.mesh.control_messages import MeshTargets
from mustardspur_core.mesh.model import RouteShare
from mustardspur_core.mesh.packing import encode_table, table_delta
from mustardspur_core.metrics import NullMetrics
from mustardspur_core.record import replaced
from mustardspur_core.settings import MeshSettings
from mustardspur_node.mesh.caller_server import CallerServer
from mustardspur_node.mesh.decisions import MAX_LINES_PER_S
from mustardspur_node.mesh.names import HEADER_NAMES
from mustardspur_node.mesh.placing import Placer
from mustardspur_node.mesh.view import MeshView

from tests.core.mesh.builders import account, route, table, target
from tests.node.mesh.builders import local_target, node_settings
from tests.support.ports import free_address

_REQUEST = b'GET /drafts/1 HTTP/1.1\r\nhost: forms.example\r\n\r\n'


@asynccontextmanager
async def _serving(
    *accounts: ClientAccount,
    **changes: Any,
) -> AsyncIterator[tuple[str, Placer]]:
    """Serve callers with one route that has some fields changed."""
    view = MeshView()
    served = replaced(
        table(1, replaced(route('drafts'), **changes)),
        accounts={each.name: each for each in accounts},
    )
    rows = encode_table(served)
    view.apply_table(table_delta(None, 0, rows, 1))
    view.apply_targets(
        MeshTargets(full=True, upserts=[target('1')], removed=[]),
    )
    settings = node_settings()
    assert isinstance(settings.mesh, MeshSettings)
    local = local_target('127.0.0.1:9')
    placer = Placer(settings, settings.mesh, view, local, NullMetrics())
    server = CallerServer(
        view,
        placer,
        HEADER_NAMES,
        NullMetrics(),
        settings.mesh,
    )
    address = free_address()
    async with server.serving(address):
        yield address, placer


async def _status(address: str, *lines: bytes) -> str:
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(_REQUEST.replace(b'\r\n\r\n', b'\r\n'))
    writer.write(b''.join((*lines, b'\r\n')))
    async with asyncio.timeout(5):
        line = await reader.readline()
    writer.close()
    return line.split()[1].decode() if line else ''


def _fail(*_: Any) -> None:
    raise KeyError('unexpected')


async def test_unexpected_error_is_answered(
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a caller that waits for ever, and against a refusal that
    says that the call did not run, after an unexpected error.
    """

    async with _serving() as (address, placer):
        monkeypatch.setattr(type(placer.chooser), 'choose', _fail)
        assert await _status(address) == '500'
    assert 'call failed unexpectedly' in caplog.text


@pytest.mark.parametrize('stated', [b'nan', b'-inf', b'1e400'])
async def test_odd_deadlines_are_ignored(
    stated: bytes,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a stated time that ends its call with an error, or
    changes the rank of all calls of its route.
    """
    caplog.set_level(logging.INFO)
    line = b'%b: %b\r\n' % (HEADER_NAMES.deadline_ms.encode(), stated)
    async with _serving() as (address, _):
        assert await _status(address, line) == '503'
    assert 'deadline header is not a number' in caplog.text


async def test_long_deadlines_do_not_fill_the_log(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a caller that fills the log with deadlines that are no
    numbers, each of the length of a header line.
    """
    caplog.set_level(logging.INFO)
    line = b'%b: %b\r\n' % (HEADER_NAMES.deadline_ms.encode(), b'x' * 4000)
    async with _serving() as (address, _):
        requests = (_status(address, line) for _ in range(3 * MAX_LINES_PER_S))
        assert set(await asyncio.gather(*requests)) == {'503'}
    lines = [line for line in caplog.records if line.msg.startswith('deadline')]
    assert all(len(line.__dict__['deadline']) < 200 for line in lines)
    assert len(lines) < 3 * MAX_LINES_PER_S


async def test_route_without_any_weight_refuses() -> None:
    """Guards against callers that hang on a route whose weights are all 0."""
    shares = [
        RouteShare(service='forms', weight=0),
        RouteShare(service='other', weight=0),
    ]
    async with _serving(shares=shares) as (address, _):
        assert await _status(address) == '503'


async def _unfinished(address: str, request: bytes) -> str:
    """Return the status and headers of an answer to a body without its end."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request.replace(b'GET', b'POST')[:-2])
    writer.write(b'content-length: 9000\r\n\r\npart')
    async with asyncio.timeout(3):
        head = await reader.readuntil(b'\r\n\r\n')
    writer.close()
    return head.decode()


@pytest.mark.parametrize(
    ('request_head', 'status'),
    [
        (_REQUEST.replace(b'drafts', b'missing'), '404'),
        (
            _REQUEST.replace(b'drafts', b'missing').replace(
                b'host', b'expect: 100-continue\r\nhost'
            ),
            '404',
        ),
        (_REQUEST.replace(b'/drafts/', b'drafts/'), '400'),
        (_REQUEST, '408'),
    ],
)
async def test_body_that_does_not_end_is_answered(
    request_head: bytes, status: str
) -> None:
    """Guards against a request that stays without an answer for as long as
    its caller does not send the rest of the body.
    """
    async with _serving(account('cafe', 'k-1')) as (address, _):
        head = await _unfinished(address, request_head)
    assert head.split()[1] == status
    assert 'connection: close' in head


async def test_missing_route_keeps_the_connection() -> None:
    """Guards against a connection that is closed, with the requests behind,
    because the body of a refused request arrives a bit after its head.
    """
    missing = _REQUEST.replace(b'GET /drafts', b'POST /missing')
    async with _serving() as (address, _):
        host, _, port = address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b'%bcontent-length: 4\r\n\r\n' % missing[:-2])
        await asyncio.sleep(0.05)
        writer.write(b'body%b' % _REQUEST)
        async with asyncio.timeout(5):
            first = await reader.readuntil(b'\r\n\r\n')
            await reader.readuntil(b'\r\n\r\n')
        writer.close()
    assert first.split()[1] == b'404'
    assert b'connection: close' not in first


_KEY = b'k-5f0c77aa'
_KNOWN = b'authorization: Bearer %b\r\n' % _KEY
_NAMES = (b'authorization', b'Authorization', b'x-mustardspur-account')
_header_lines = st.lists(
    st.builds(
        b'%b%b%b%b'.__mod__,
        st.tuples(
            st.sampled_from(_NAMES) | st.binary(max_size=4),
            st.sampled_from([b': ', b':', b' :', b':Bearer ', b': Bearer\t']),
            st.binary(max_size=40) | st.just(b'x' * 3000),
            st.sampled_from([b'\r\n', b'\n', b'\r', b'\x00\r\n']),
        ),
    ),
    min_size=1,
    max_size=4,
)


async def _damaged_and_known_status(lines: list[bytes]) -> tuple[str, str]:
    async with _serving(account('cafe', _KEY.decode())) as (address, _):
        return await asyncio.gather(
            _status(address, *lines),
            _status(address, _KNOWN),
        )


@settings(max_examples=120, deadline=None, derandomize=True)
@given(lines=_header_lines)
def test_damaged_key_and_account_headers(lines: list[bytes]) -> None:
    """Guards against headers that identify an account, fail with an
    unexpected error, or harm the calls on other connections.
    """
    damaged, known = asyncio.run(_damaged_and_known_status(lines))
    assert damaged in {'400', '401', '408', '431', ''}
    # No target is ready, which only a call with a known key finds out.
    assert known == '503'

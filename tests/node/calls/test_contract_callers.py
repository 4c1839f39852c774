"""Tests of the interface of a node to callers and targets."""

import asyncio
from typing import Any

import pytest
from aiohttp import web
from mustardspur_node.calls.caller_registry import MAX_CALLERS

from tests.node.stand_ins.mesh import HANG_S, Mesh, run_mesh, run_target
from tests.node.stand_ins.scripted import KEEP, run_scripted
from tests.node.stand_ins.views import (
    LENS_ROUTES,
    make_route,
    make_target,
    make_view,
)


async def _echo(request: web.BaseRequest) -> web.Response:
    body = await request.read()
    return web.Response(
        body=b''.join(
            (request.method.encode(), request.raw_path.encode(), body),
        ),
        headers={'x-request-id': request.headers['x-request-id']},
    )


async def _headers(request: web.BaseRequest) -> web.Response:
    seen = {name.lower(): text for name, text in request.headers.items()}
    return web.json_response(
        seen,
        headers={
            'connection': 'x-private',
            'x-private': '1',
            'x-public': '2',
            'x-mustardspur-outcome': 'not-run',
        },
    )


class EndlessTarget:
    """Never responds, and records when its call is cancelled."""

    def __init__(self) -> None:
        """Initialise without calls."""
        self.started = asyncio.Event()
        self.closed = asyncio.Event()

    async def serve(self, request: web.BaseRequest) -> web.Response:
        """Wait for the end of the connection, but respond to probes."""
        if request.path == '/health':
            return web.Response()
        self.started.set()
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            self.closed.set()
            raise
        return web.Response()


async def test_call_reaches_its_target() -> None:
    """Guards against a call that is changed while it is forwarded."""
    long_body = b'b' * 200_000
    async with run_target(_echo) as address:
        async with run_mesh(make_view([make_target(address)])) as mesh:
            answer = await mesh.call('GET', '/stock/7?a=%2F')
            posted = await mesh.call('POST', '/prescriptions', data=b' rx')
            streamed = await mesh.call('POST', '/prescriptions', data=long_body)
    assert answer == (200, None, b'GET/stock/7?a=%2F')
    assert posted == (200, None, b'POST/prescriptions rx')
    assert streamed == (200, None, b'POST/prescriptions%b' % long_body)


async def _call_as(mesh: Mesh, *names: str) -> None:
    if names:
        headers = {'x-mustardspur-caller': names[0]}
        await mesh.call('GET', '/stock', headers=headers)
        await _call_as(mesh, *names[1:])


async def test_outcomes_name_the_caller() -> None:
    """Guards against outcomes that cannot be attributed to a caller."""
    names = [f'clinic-{number}' for number in range(MAX_CALLERS + 2)]
    async with run_target(_echo) as address:
        async with run_mesh(make_view([make_target(address)])) as mesh:
            await mesh.call('GET', '/stock')
            await _call_as(mesh, *names, names[0])
    registered = names[:MAX_CALLERS]
    assert mesh.outcomes.callers == ['', *registered, '', '', names[0]]


@pytest.mark.parametrize(
    ('method', 'path', 'headers', 'status'),
    [
        ('GET', '/none', {}, 404),
        ('DELETE', '/stock', {}, 404),
        ('GET', '/stock', {'x-mustardspur-service': 'none'}, 503),
        ('GET', '/stock', {'x-mustardspur-deadline-ms': '0'}, 504),
        ('GET', '/stock', {'expect': 'other'}, 417),
    ],
)
async def test_unroutable_call_is_not_run(
    method: str,
    path: str,
    headers: dict[str, str],
    status: int,
) -> None:
    """Guards against an error response without outcome and reason."""
    async with run_mesh(make_view([make_target('127.0.0.1:1')])) as mesh:
        url = f'http://{mesh.address}{path}'
        async with mesh.client.request(method, url, headers=headers) as answer:
            body = await answer.json()
    assert answer.status == status
    assert answer.headers['x-mustardspur-outcome'] == 'not-run'
    assert body['outcome'] == 'not-run'
    assert body['reason']


async def test_hop_by_hop_headers_are_not_forwarded() -> None:
    """Guards against forwarded hop-by-hop headers and false outcomes."""
    async with run_target(_headers) as address:
        async with run_mesh(make_view([make_target(address)])) as mesh:
            sent = {
                'connection': 'x-secret, keep-alive',
                'x-secret': '1',
                'te': 'trailers',
                'proxy-authorization': 'x',
                'x-mustardspur-deadline-ms': '900',
                'x-mustardspur-retry-budget': '2',
            }
            url = f'http://{mesh.address}/stock'
            async with mesh.client.get(url, headers=sent) as answer:
                seen = await answer.json()
    assert not {'x-secret', 'te', 'proxy-authorization'} & set(seen)
    assert 0 < int(seen['x-mustardspur-deadline-ms']) < 900
    assert seen['x-mustardspur-retry-budget'] == '1'
    assert 'x-private' not in answer.headers
    assert answer.headers['x-public'] == '2'
    assert 'x-mustardspur-outcome' not in answer.headers


async def test_refusal_is_not_run_and_may_be_retried() -> None:
    """Guards against a refusal being reported as unknown."""
    refusals: list[str] = []

    async def factory(request: web.BaseRequest) -> web.Response:
        refusals.append(request.path)
        return web.Response(status=503, headers={'x-mustardspur-refused': '1'})

    async with run_target(factory) as address:
        async with run_mesh(make_view([make_target(address)])) as mesh:
            once = await mesh.call('POST', '/prescriptions', data=b'rx')
            safe = await mesh.call('GET', '/stock')
    assert once[:2] == safe[:2] == (503, 'not-run')
    assert refusals == ['/prescriptions', '/stock', '/stock', '/stock']
    assert mesh.outcomes.rows[0] == ('prescriptions', '1', 'refusal')


async def test_refusal_without_its_header_is_a_response() -> None:
    """Guards against a call that ran being treated as refused."""
    plain = b'HTTP/1.1 503 Busy\r\ncontent-length: 4\r\n\r\nbusy'
    async with run_scripted((plain, KEEP)) as (address, target):
        async with run_mesh(make_view([make_target(address)])) as mesh:
            answer = await mesh.call('POST', '/prescriptions')
    assert answer == (503, None, b'busy')
    assert target.requests == 1


async def test_failing_target_gets_few_retries() -> None:
    """Guards against retries that double the load of a failing target."""
    runs: list[str] = []

    async def factory(request: web.BaseRequest) -> web.Response:
        runs.append(request.path)
        return web.Response(status=500)

    async with run_target(factory) as address:
        async with run_mesh(make_view([make_target(address)])) as mesh:
            await mesh.repeat(100, 'GET', '/stock')
    # A tenth of the calls, and the initial tokens of the retry budget.
    assert 110 <= len(runs) <= 116


async def test_deadline_after_sending_is_unknown() -> None:
    """Guards against reporting a call as not run that may have run."""
    target = EndlessTarget()
    async with run_target(target.serve) as address:
        async with run_mesh(make_view([make_target(address)])) as mesh:
            answer = await mesh.call(
                'POST',
                '/prescriptions',
                headers={'x-mustardspur-deadline-ms': '50'},
            )
            await target.closed.wait()
    assert answer[:2] == (504, 'unknown')


async def test_disconnected_caller_cancels_its_call() -> None:
    """Guards against a target working for a disconnected caller."""
    target = EndlessTarget()
    route = make_route(*LENS_ROUTES[1], timeout_ms=HANG_S * 10_000)
    async with run_target(target.serve) as address:
        view = make_view([make_target(address)], routes=[route])
        async with run_mesh(view, drain_s=0) as mesh:
            call = asyncio.create_task(mesh.call('POST', '/prescriptions'))
            await target.started.wait()
            call.cancel()
            # Reached only if the node does not cancel the call.
            async with asyncio.timeout(HANG_S):
                await target.closed.wait()


async def test_unreachable_target_is_not_run_and_replaced() -> None:
    """Guards against a call that fails because of an unreachable target."""
    dead = make_target('127.0.0.1:1')
    async with run_mesh(make_view([dead])) as mesh:
        alone = await mesh.call('POST', '/prescriptions', data=b'rx')
    async with run_target(_echo) as address:
        async with run_mesh(make_view([dead, make_target(address)])) as mesh:
            answers = await mesh.repeat(20, 'POST', '/prescriptions')
    assert alone[:2] == (503, 'not-run')
    assert {answer[0] for answer in answers} == {200}


@pytest.mark.parametrize(
    ('route_headers', 'path', 'expected'),
    [({}, '/stock', 200), ({'x-clinic': 'a'}, '/stock', 404)],
)
async def test_header_match(
    route_headers: dict[str, str],
    path: str,
    expected: int,
) -> None:
    """Guards against matching a route whose headers are missing."""
    route = make_route(
        'stock',
        '/stock',
        ['GET'],
        'quick',
        'fetch',
        True,
        headers=route_headers,
    )
    async with run_target(_echo) as address:
        view = make_view([make_target(address)], routes=[route])
        async with run_mesh(view) as mesh:
            status = (await mesh.call('GET', path))[0]
    assert status == expected


@pytest.mark.parametrize('path', ['/mustardspur/v1/ready'])
async def test_readiness(path: str) -> None:
    """Guards against a node that reports ready while it drains."""
    view: Any = make_view([make_target('127.0.0.1:1')])
    async with run_mesh(view) as mesh:
        ready = (await mesh.call('GET', path))[0]
        mesh.views.views_by_service.clear()
        without_view = (await mesh.call('GET', path))[0]
        mesh.views.views_by_service['lens-bench'] = view
        await mesh.forwarder.drain(1)
        draining = (await mesh.call('GET', path))[0]
        refused = await mesh.call('GET', '/stock')
    assert (ready, without_view, draining) == (200, 503, 503)
    assert refused[:2] == (503, 'not-run')

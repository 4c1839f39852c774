"""Guards against a graceful stop that ends calls in flight."""

import asyncio

from aiohttp import ClientSession, web

from tests.node.stand_ins.mesh import run_mesh, run_target
from tests.node.stand_ins.views import (
    LENS_ROUTES,
    make_route,
    make_target,
    make_view,
)

# No call ends by its timeout: on a busy machine, the calls of a test together
# take longer than the 2 s of the other tests.
PATIENT_ROUTE = make_route(*LENS_ROUTES[0], timeout_ms=100_000)


class SlowTarget:
    """Completes its responses after `proceed` is set."""

    def __init__(self) -> None:
        """Initialise without calls."""
        self.started = asyncio.Event()
        self.proceed = asyncio.Event()
        self.calls = 0

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Send half of the response, wait, and send the rest."""
        self.calls += 1
        answer = web.StreamResponse()
        await answer.prepare(request)
        await answer.write(b'first ')
        self.started.set()
        await self.proceed.wait()
        await answer.write(b'second')
        return answer


class HangingTarget:
    """Begins calls and never answers them."""

    def __init__(self) -> None:
        """Initialise without calls."""
        self.started = asyncio.Event()

    async def serve(self, _request: web.BaseRequest) -> web.StreamResponse:
        """Wait for the caller to leave."""
        self.started.set()
        await asyncio.Event().wait()
        return web.Response()


async def test_draining_node_completes_its_calls() -> None:
    """Guards against a stop that truncates a response."""
    target = SlowTarget()
    async with run_target(target.serve) as address:
        view = make_view([make_target(address)], routes=[PATIENT_ROUTE])
        async with run_mesh(view) as mesh:
            call = asyncio.create_task(mesh.call('GET', '/stock'))
            await target.started.wait()
            drain = asyncio.create_task(mesh.forwarder.drain(20))
            await asyncio.sleep(0)
            refused = await mesh.call('GET', '/stock')
            assert not drain.done()
            target.proceed.set()
            assert await call == (200, None, b'first second')
            assert await drain == 0
    assert refused[:2] == (503, 'not-run')


async def test_call_at_the_end_of_a_drain_is_answered() -> None:
    """Guards against a call without an answer, as its target is still at work
    at the end of the time for calls in flight.
    """
    target = HangingTarget()
    route = make_route(*LENS_ROUTES[1], timeout_ms=100_000)
    async with run_target(target.serve) as address, ClientSession() as client:
        view = make_view([make_target(address)], routes=[route])
        async with run_mesh(view, drain_s=0.2) as mesh:
            url = f'http://{mesh.address}/prescriptions'
            call = asyncio.create_task(client.post(url))
            await target.started.wait()
        answer = await call
    assert answer.status == 502
    assert answer.headers['x-mustardspur-outcome'] == 'unknown'


async def test_removed_target_completes_its_calls() -> None:
    """Guards against new calls to a removed target, or truncated ones."""
    removed, remaining = SlowTarget(), SlowTarget()
    remaining.proceed.set()
    async with (
        run_target(removed.serve) as one,
        run_target(
            remaining.serve,
        ) as other,
    ):
        both = [make_target(one), make_target(other)]
        views = [make_view([each], routes=[PATIENT_ROUTE]) for each in both]
        async with run_mesh(views[0]) as mesh:
            call = asyncio.create_task(mesh.call('GET', '/stock'))
            await removed.started.wait()
            mesh.views.views_by_service['lens-bench'] = views[1]
            answers = await mesh.repeat(20, 'GET', '/stock')
            await mesh.forwarder.maintenance.run_once(0)
            removed.proceed.set()
            assert await call == (200, None, b'first second')
    assert (removed.calls, remaining.calls) == (1, 20)
    assert {answer[0] for answer in answers} == {200}


async def test_draining_target_gets_no_new_calls() -> None:
    """Guards against calls to a target that announced its drain."""
    target = SlowTarget()
    async with run_target(target.serve) as address:
        view = make_view([make_target(address, state='draining')])
        async with run_mesh(view) as mesh:
            answer = await mesh.call('GET', '/stock')
    assert answer[:2] == (503, 'not-run')
    assert not target.calls

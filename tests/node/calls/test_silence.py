"""Guards against connections that are silent while new ones work."""

import asyncio

from aiohttp import web
from mustardspur_node.calls.ejection import CONSECUTIVE_FAILURES
from mustardspur_node.calls.maintenance import silence_timeout_s

from tests.node.stand_ins.endpoints import make_endpoint
from tests.node.stand_ins.mesh import run_mesh, run_target
from tests.node.stand_ins.scripted import KEEP, run_scripted
from tests.node.stand_ins.views import make_target, make_view


async def test_safe_call_is_retried_on_a_new_connection() -> None:
    """Guards against a safe call that waits for a silent connection."""
    # The first request gets no response; the probe and the retry do.
    async with run_scripted((b'', KEEP)) as (address, target):
        view = make_view([make_target(address)])
        async with run_mesh(view) as mesh:
            answer = await mesh.call('GET', '/stock')
            moved_on = mesh.forwarder.counters.total('moved_on')
    assert answer == (200, None, b'good')
    assert moved_on == 1
    # The connections of the call, of the probe and of the retry.
    assert target.connections == 3


async def test_unsafe_call_is_not_retried_and_is_unknown() -> None:
    """Guards against retrying a call that is not idempotent."""
    runs: list[str] = []

    async def factory(request: web.BaseRequest) -> web.Response:
        if request.path == '/health':
            return web.Response()
        runs.append(request.path)
        await asyncio.Event().wait()
        return web.Response()

    async with run_target(factory) as address:
        async with run_mesh(make_view([make_target(address)])) as mesh:
            answer = await mesh.call(
                'POST',
                '/prescriptions',
                headers={'x-mustardspur-deadline-ms': '900'},
            )
    assert answer[:2] == (504, 'unknown')
    assert len(runs) == 1


async def _report_false_health(request: web.BaseRequest) -> web.Response:
    return web.Response(status=200 if request.path == '/health' else 500)


async def _answer(request: web.BaseRequest) -> web.Response:
    return web.Response(body=b'good')


async def test_false_health_does_not_prevent_ejection() -> None:
    """Guards against reported health that overrides failed calls."""
    async with (
        run_target(_report_false_health) as bad,
        run_target(_answer) as good,
    ):
        view = make_view([make_target(bad), make_target(good)])
        async with run_mesh(view) as mesh:
            answers = await mesh.repeat(200, 'POST', '/prescriptions')
            ejections = mesh.forwarder.counters.total('ejections')
    failed = [answer[0] for answer in answers].count(500)
    assert ejections >= 1
    # One failure for each reinstatement, and those before the ejection.
    assert failed < CONSECUTIVE_FAILURES + ejections


def test_silence_timeout_follows_the_average_latency() -> None:
    """Guards against probes of targets that are only slow."""
    endpoint = make_endpoint('one')
    assert silence_timeout_s(endpoint) * 1000 == 250
    endpoint.observations.latency_ms = 500
    assert silence_timeout_s(endpoint) == 4

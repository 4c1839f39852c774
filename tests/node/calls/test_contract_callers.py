"""Guards the contract of the node towards callers."""

from aiohttp import web

from tests.node.stand_ins.mesh import run_mesh, run_target
from tests.node.stand_ins.views import make_target, make_view


async def _echo(request: web.BaseRequest) -> web.Response:
    body = await request.read()
    return web.Response(
        body=f'{request.method} {request.raw_path}'.encode() + body,
        headers={'x-request-id': request.headers['x-request-id']},
    )


async def test_call_reaches_its_target() -> None:
    """Guards against a call that changes on its way."""
    async with run_target(_echo) as address:
        async with run_mesh(make_view([make_target(address)])) as mesh:
            answer = await mesh.call('GET', '/stock/7?a=%2F')
            posted = await mesh.call('POST', '/prescriptions', data=b' rx')
    assert answer == (200, None, b'GET /stock/7?a=%2F')
    assert posted == (200, None, b'POST /prescriptions rx')

"""Guards against a failed exchange that is treated as an answer."""

import socket
from collections.abc import Awaitable, Callable
from types import MappingProxyType

import pytest
from aiohttp import ClientSession, web
from mustardspur_client.transport import HttpTransport, Request, SendError

from tests.client.sessions import StartServer

Handle = Callable[[web.Request], Awaitable[web.StreamResponse]]
REQUEST = Request(method='PUT', path='/', body={'edit_id': 'e1'})


async def _close_connection(request: web.Request) -> web.StreamResponse:
    assert request.transport is not None
    request.transport.close()
    return web.Response()


async def _send_no_json(request: web.Request) -> web.StreamResponse:
    return web.Response(text='<html>')


async def _send_no_object(request: web.Request) -> web.StreamResponse:
    return web.json_response([1])


async def _truncate_answer(request: web.Request) -> web.StreamResponse:
    response = web.StreamResponse(headers={'content-length': '100'})
    await response.prepare(request)
    await response.write(b'{"index"')
    assert request.transport is not None
    request.transport.close()
    return response


async def _send_long_answer(request: web.Request) -> web.StreamResponse:
    return web.json_response({'index': 'x' * 2000})


BAD_SERVERS = MappingProxyType(
    {
        'closes': _close_connection,
        'no JSON': _send_no_json,
        'no object': _send_no_object,
        'cut answer': _truncate_answer,
        'long answer': _send_long_answer,
    }
)


@pytest.mark.parametrize('name', BAD_SERVERS)
async def test_request_that_may_have_arrived(
    aiohttp_server: StartServer,
    name: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against reporting 'not committed' after the edit was sent, and
    against an answer without end that takes the memory.
    """
    monkeypatch.setattr(
        'mustardspur_client.transport.MAX_ANSWER_BYTES', 1000, raising=False
    )
    app = web.Application()
    app.router.add_route('PUT', '/', BAD_SERVERS[name])
    server = await aiohttp_server(app)
    async with ClientSession() as session:
        with pytest.raises(SendError) as raised:
            await HttpTransport(session).send(
                f'{server.host}:{server.port}',
                REQUEST,
            )
    assert raised.value.sent


async def test_refused_connection_was_not_sent() -> None:
    """Guards against reporting 'uncertain' if nothing was sent."""
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        port = listener.getsockname()[1]
        async with ClientSession() as session:
            with pytest.raises(SendError) as raised:
                await HttpTransport(session).send(f'127.0.0.1:{port}', REQUEST)
    assert not raised.value.sent

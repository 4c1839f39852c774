"""Tests of the ends of connections that are refused."""

import asyncio
import socket
import struct
from collections.abc import Callable
from functools import partial
from typing import Final

import pytest
import uvloop
from mustardspur_core.refusals import RefusedConnections

_REQUEST: Final = b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'
_INFO_BYTES: Final = 144
# Of `tcpi_segs_in` in the kernel's `tcp_info`.
_SEGMENTS_OFFSET: Final = 140


def _segments(connected: socket.socket) -> int:
    """Return how many segments a socket has received."""
    state = connected.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES
    )
    return int(struct.unpack_from('I', state, _SEGMENTS_OFFSET)[0])


async def _refused_segments() -> tuple[bytes, int]:
    """Return a refusal, and in how many segments it and the end came."""
    loop = asyncio.get_running_loop()
    refused = RefusedConnections('callers')
    server = await loop.create_server(
        partial(refused.create, 0), '127.0.0.1', 0
    )
    address = server.sockets[0].getsockname()
    with socket.create_connection(address) as connected:
        connected.setblocking(False)  # noqa: FBT003
        connected.send(_REQUEST)
        before = _segments(connected)
        answer = b''
        async with asyncio.timeout(5):
            while part := await loop.sock_recv(connected, 1000):
                answer += part
        segments = _segments(connected) - before
    server.close()
    return answer, segments


@pytest.mark.parametrize(
    'new_loop', [asyncio.new_event_loop, uvloop.new_event_loop]
)
def test_refusal_arrives_with_the_end(
    new_loop: Callable[[], asyncio.AbstractEventLoop],
) -> None:
    """Guards against a refused client that has its answer, but not the end of
    the connection, and whose next request is left unanswered until it comes.
    """
    with asyncio.Runner(loop_factory=new_loop) as runner:
        answer, segments = runner.run(_refused_segments())
    assert answer.startswith(b'HTTP/1.1 503')
    assert segments == 1

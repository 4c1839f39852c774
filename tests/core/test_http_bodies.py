"""Tests of the memory of request bodies."""

import asyncio
from collections.abc import Iterator
from types import TracebackType
from typing import Any, Final

import pytest
from aiohttp import StreamReader
from aiohttp.base_protocol import BaseProtocol
from aiohttp.test_utils import make_mocked_request
from mustardspur_core.http_bodies import read_body

_PART: Final = bytes(10_000)
_LIMIT: Final = 1_000_000


def _frames(traceback: TracebackType | None) -> Iterator[dict[str, Any]]:
    """Yield the local variables of the frames that an error has left."""
    while traceback is not None:
        yield traceback.tb_frame.f_locals
        traceback = traceback.tb_next


def _held_parts(error: BaseException) -> int:
    frames = _frames(error.__traceback__)
    names = (name for frame in frames for name in frame.values())
    lists = (each for each in names if isinstance(each, list))
    return sum(map(len, lists))


async def test_body_that_fails_is_not_held() -> None:
    """Guards against a process that is killed for the bodies of clients that
    left, which the tracebacks of their requests refer to until a garbage
    collection.
    """
    loop = asyncio.get_running_loop()
    protocol = BaseProtocol(loop)
    protocol.connection_made(asyncio.Transport())
    payload = StreamReader(protocol, _LIMIT, loop=loop)
    request = make_mocked_request('PUT', '/', payload=payload)
    reading = asyncio.create_task(read_body(request, _LIMIT))
    payload.feed_data(_PART)
    await asyncio.sleep(0)
    payload.feed_data(_PART)
    await asyncio.sleep(0)
    payload.set_exception(ConnectionError('left'))
    with pytest.raises(ConnectionError) as failure:
        await reading
    assert not _held_parts(failure.value)

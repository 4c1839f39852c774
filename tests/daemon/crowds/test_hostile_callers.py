"""Tests of callers of a node outside of a mesh that keep to no limits."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from pathlib import Path
from typing import Final

import pytest
from aiohttp import web

from tests.daemon.crowds.limited_node import (
    FAULTY_PATH,
    FAULTY_VERSION,
    SOUND_VERSION,
    LimitedNode,
    limited_node,
)
from tests.daemon.processes import HANG_LIMIT_S
from tests.node.stand_ins.mesh import run_target
from tests.node.stand_ins.scripted import run_scripted
from tests.platform.crowds.crowd import CROWD, connect, discard, send
from tests.platform.crowds.floods import FLOODS_BY_NAME, PARSED, UNREAD, Client

_ANSWER_BYTES: Final = 100_000
_TIMEOUT_MS: Final = 6_000
_FLOODS: Final = tuple(name for name in FLOODS_BY_NAME if name not in PARSED)


async def _serve(request: web.BaseRequest) -> web.Response:
    async for _ in request.content.iter_any():
        """Reads the body without keeping it."""
    return web.Response(body=bytes(_ANSWER_BYTES))


@asynccontextmanager
async def _crowd(node: LimitedNode, name: str) -> AsyncIterator[None]:
    """Let hostile callers send all they have, and keep them connected."""
    async with AsyncExitStack() as stack:
        async with asyncio.timeout(HANG_LIMIT_S):
            await asyncio.gather(
                *(_play(node, stack, name, number) for number in range(CROWD)),
            )
        yield


async def _play(
    node: LimitedNode, stack: AsyncExitStack, name: str, number: int
) -> None:
    host, _, port = node.address.rpartition(':')
    client = Client('POST', FAULTY_PATH, number)
    with suppress(ConnectionError, TimeoutError):
        reader, writer = await connect((host, int(port)))
        stack.callback(writer.close)
        if name not in UNREAD:
            reading = asyncio.create_task(discard(reader))
            stack.callback(reading.cancel)
        await send(writer, FLOODS_BY_NAME[name](client))


@pytest.mark.parametrize('name', _FLOODS)
async def test_callers(name: str, tmp_path: Path) -> None:
    """Guards against a node that hostile callers end or block."""
    async with (
        run_scripted() as (sound, _),
        run_target(_serve) as target,
        limited_node(
            tmp_path,
            {SOUND_VERSION: sound, FAULTY_VERSION: target},
            _TIMEOUT_MS,
        ) as node,
        _crowd(node, name),
    ):
        answer = await node.ask_sound()
    node.usage.check()  # noqa: WPS441
    assert answer == b'good'

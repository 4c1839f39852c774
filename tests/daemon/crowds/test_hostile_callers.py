"""Tests of callers of a node outside of a mesh that keep to no limits."""

import asyncio
from collections.abc import AsyncIterator, Iterator
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
from tests.platform.crowds.floods import (
    FLOODS_BY_NAME,
    PARSED,
    UNREAD,
    Client,
    Flood,
)
from tests.platform.crowds.limited_mesh import MAX_DESCRIPTORS

_ANSWER_BYTES: Final = 100_000
_TIMEOUT_MS: Final = 6_000
_FEW_DESCRIPTORS: Final = 128
_FLOODS: Final = tuple(name for name in FLOODS_BY_NAME if name not in PARSED)


async def _serve(request: web.BaseRequest) -> web.Response:
    async for _ in request.content.iter_any():
        """Reads the body without keeping it."""
    return web.Response(body=bytes(_ANSWER_BYTES))


@asynccontextmanager
async def _crowd(
    node: LimitedNode, flood: Flood, size: int = CROWD
) -> AsyncIterator[None]:
    """Let hostile callers send all they have, and keep them connected."""
    async with AsyncExitStack() as stack:
        async with asyncio.timeout(HANG_LIMIT_S):
            await asyncio.gather(
                *(_play(node, stack, flood, number) for number in range(size)),
            )
        yield


async def _play(
    node: LimitedNode, stack: AsyncExitStack, flood: Flood, number: int
) -> None:
    host, _, port = node.address.rpartition(':')
    client = Client('POST', FAULTY_PATH, number)
    with suppress(ConnectionError, TimeoutError):
        reader, writer = await connect((host, int(port)))
        stack.callback(writer.close)
        if flood.__name__ not in UNREAD:
            reading = asyncio.create_task(discard(reader))
            stack.callback(reading.cancel)
        await send(writer, flood(client))


@asynccontextmanager
async def _running(
    folder: Path, descriptors: int = MAX_DESCRIPTORS
) -> AsyncIterator[LimitedNode]:
    async with (
        run_scripted() as (sound, _),
        run_target(_serve) as target,
        limited_node(
            folder,
            {SOUND_VERSION: sound, FAULTY_VERSION: target},
            _TIMEOUT_MS,
            descriptors,
        ) as node,
    ):
        yield node


@pytest.mark.parametrize('name', _FLOODS)
async def test_callers(name: str, tmp_path: Path) -> None:
    """Guards against a node that hostile callers end or block."""
    async with (
        _running(tmp_path) as node,
        _crowd(node, FLOODS_BY_NAME[name]),
    ):
        answer = await node.ask_sound()
    node.usage.check()  # noqa: WPS441
    assert answer == b'good'


def _nothing(_: Client) -> Iterator[bytes]:
    """Send nothing on a connection that stays open."""
    return iter(())


def _open_body(client: Client) -> Iterator[bytes]:
    """Send a body of legal size but for its last byte."""
    return iter((client.sized(2), b'a'))


@pytest.mark.parametrize(
    'flood', [_nothing, _open_body, FLOODS_BY_NAME['open_head']]
)
async def test_held_connections(flood: Flood, tmp_path: Path) -> None:
    """Guards against a node whose callers hold all connections that it
    accepts, so that it answers no others.
    """
    async with (
        _running(tmp_path, _FEW_DESCRIPTORS) as node,
        _crowd(node, flood, _FEW_DESCRIPTORS),
    ):
        answer = await node.ask_sound()
    node.usage.check()  # noqa: WPS441
    assert answer == b'good'

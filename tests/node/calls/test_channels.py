"""Guards connections to targets against half-finished work."""

import asyncio
from typing import Any

import pytest
from aiohttp import TCPConnector
from multidict import CIMultiDict
from mustardspur_node.calls.channels import Channel

from tests.node.stand_ins.mesh import HANG_S


class PendingConnects:
    """Takes the place of the library's connects and holds them open."""

    def __init__(self) -> None:
        """Start without connects."""
        self.started = asyncio.Event()
        self.proceed = asyncio.Event()
        self.closed = asyncio.Event()

    async def create(self, *arguments: Any) -> 'PendingConnects':
        """Return a connection when it is told to."""
        self.started.set()
        await self.proceed.wait()
        return self

    def close(self) -> None:
        """Note that the connection was closed."""
        self.closed.set()


async def test_cancelled_call_lets_its_connect_finish(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against uvloop keeping a transport on a closed descriptor."""
    connects = PendingConnects()
    monkeypatch.setattr(TCPConnector, '_create_connection', connects.create)
    channel = Channel('127.0.0.1:1', 1)
    request = channel.request('GET', '/', CIMultiDict({'host': 'n'}), None)
    call = asyncio.create_task(channel.connect(request))
    await connects.started.wait()
    call.cancel()
    await asyncio.gather(call, return_exceptions=True)
    connects.proceed.set()
    async with asyncio.timeout(HANG_S):
        await connects.closed.wait()
    await channel.close()

"""Guards against connects that are cancelled halfway."""

import asyncio
from typing import Any

import pytest
from aiohttp import TCPConnector
from multidict import CIMultiDict
from mustardspur_node.calls.channels import TargetChannel

from tests.node.stand_ins.mesh import HANG_S


class PendingConnects:
    """Replaces the connects of aiohttp and blocks them."""

    def __init__(self) -> None:
        """Initialise without connects."""
        self.started = asyncio.Event()
        self.proceed = asyncio.Event()
        self.closed = asyncio.Event()

    async def create(self, *arguments: Any) -> 'PendingConnects':
        """Return a connection after `proceed` is set."""
        self.started.set()
        await self.proceed.wait()
        return self

    def close(self) -> None:
        """Record that the connection was closed."""
        self.closed.set()


async def test_connect_of_a_cancelled_call_is_completed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a uvloop transport with a closed descriptor."""
    connects = PendingConnects()
    monkeypatch.setattr(TCPConnector, '_create_connection', connects.create)
    channel = TargetChannel('127.0.0.1:1', 1)
    request = channel.request('GET', '/', CIMultiDict({'host': 'n'}), None)
    call = asyncio.create_task(channel.connect(request))
    await connects.started.wait()
    call.cancel()
    await asyncio.gather(call, return_exceptions=True)
    connects.proceed.set()
    async with asyncio.timeout(HANG_S):
        await connects.closed.wait()
    await channel.close()

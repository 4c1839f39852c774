"""Tests of the metrics that a process serves."""

import asyncio
import socket

import pytest
from aiohttp import ClientSession
from mustardspur_core.exposition import (
    RETRY_S,
    MetricsRegistry,
    serving_metrics,
)

_HANG_LIMIT_S = 10
_HOST = '127.0.7.22'


async def _scrape(address: str) -> str:
    async with ClientSession() as session:
        async with session.get(f'http://{address}/metrics') as answer:
            return await answer.text()


async def _until_scraped(address: str) -> str:
    async with asyncio.timeout(_HANG_LIMIT_S):
        while True:
            try:
                return await _scrape(address)
            except OSError:
                await asyncio.sleep(RETRY_S)


def _taken_address() -> tuple[socket.socket, str]:
    taken = socket.create_server((_HOST, 0))
    port = taken.getsockname()[1]
    return taken, f'{_HOST}:{port}'


async def test_taken_address_of_metrics_ends_no_process() -> None:
    """Guards against a process that does not serve as another one has the
    address of its metrics.
    """
    registry = MetricsRegistry()
    registry.incr('calls')
    taken, address = _taken_address()
    async with serving_metrics(address, registry):
        await asyncio.sleep(RETRY_S)
        taken.close()
        assert 'mustardspur_calls 1' in await _until_scraped(address)


async def test_stopped_metrics_free_their_address() -> None:
    """Guards against a process whose successor cannot serve its metrics."""
    taken, address = _taken_address()
    taken.close()
    async with serving_metrics(address, MetricsRegistry()) as stop_listening:
        await _until_scraped(address)
        stop_listening()
        with pytest.raises(OSError):
            await _scrape(address)

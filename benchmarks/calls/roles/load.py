"""Load generator: open loop at a rate, or closed loop with workers."""

import asyncio
import json
import random
import sys
import time
from collections.abc import Awaitable
from typing import Any

from aiohttp import ClientError, ClientSession, TCPConnector

from benchmarks.calls.roles.registry import role


class Load:
    """Sends calls and keeps a row for each.

    Parameters
    ----------
    settings : dict
        ``addresses`` by variant, ``calls`` as method, path and weight,
        ``deadline_ms``, ``seed``; ``rate`` for each variant or ``workers``;
        ``duration_s``.
    """

    def __init__(self, settings: dict[str, Any], client: ClientSession) -> None:
        """Start without rows."""
        self._settings = settings
        self._client = client
        self._chances = random.Random(settings['seed'])
        self._calls = [call[:2] for call in settings['calls']]
        self._weights = [call[2] for call in settings['calls']]
        self._loop = asyncio.get_running_loop()
        self._numbers = 0
        self.rows: list[list[Any]] = []

    async def open_loop(self) -> None:
        """Send calls at random times of the given mean rate."""
        due_at = self._loop.time()
        ends_at = due_at + self._settings['duration_s']
        calls: list[asyncio.Task[None]] = []
        while due_at < ends_at:
            due_at += self._chances.expovariate(self._settings['rate'])
            await asyncio.sleep(due_at - self._loop.time())
            await self._call_variants(calls)
        await asyncio.gather(*calls)

    async def closed_loop(self) -> None:
        """Let workers call without pause."""
        ends_at = self._loop.time() + self._settings['duration_s']
        workers = range(self._settings['workers'])
        await asyncio.gather(*(self._work(ends_at) for _ in workers))

    async def _work(self, ends_at: float) -> None:
        variant = next(iter(self._settings['addresses']))
        while self._loop.time() < ends_at:
            await self._call(variant)

    async def _call_variants(self, calls: list[asyncio.Task[None]]) -> None:
        # Variants one after another, so that none meets the burst of
        # another one's call.
        variants = list(self._settings['addresses'])
        while variants:
            calls.append(asyncio.create_task(self._call(variants.pop(0))))
            await asyncio.sleep(self._settings.get('gap_s', 0))

    async def _call(self, variant: str) -> None:
        method, path = self._chances.choices(self._calls, self._weights)[0]
        address = self._settings['addresses'][variant]
        headers = self._headers()
        sent_at = time.perf_counter()
        status, outcome = await self._bounded(
            self._exchange(method, f'http://{address}{path}', headers),
        )
        latency_ms = (time.perf_counter() - sent_at) * 1000
        request_id = headers['x-request-id']
        self.rows.append(
            [variant, method, path, request_id, status, outcome, latency_ms],
        )

    def _headers(self) -> dict[str, str]:
        self._numbers += 1
        seed = self._settings['seed']
        return {
            'x-request-id': f'{seed}-{self._numbers}',
            'x-mustardspur-deadline-ms': str(self._settings['deadline_ms']),
            **self._settings.get('headers', {}),
        }

    async def _bounded(
        self,
        exchange: Awaitable[tuple[int, str]],
    ) -> tuple[int, str]:
        try:
            async with asyncio.timeout(self._settings['deadline_ms'] / 1000):
                return await exchange
        except (ClientError, OSError):
            return 0, ''

    async def _exchange(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
    ) -> tuple[int, str]:
        sent = b'{"paper": 1}' if method == 'POST' else None
        async with self._client.request(
            method,
            url,
            headers=headers,
            data=sent,
        ) as answer:
            await answer.read()
            outcome = answer.headers.get('x-mustardspur-outcome', '')
            return answer.status, outcome


@role('load')
async def run_load(settings: dict[str, Any]) -> None:
    """Send the load and print all rows."""
    async with ClientSession(connector=TCPConnector(limit=0)) as client:
        load = Load(settings, client)
        if 'rate' in settings:
            await load.open_loop()
        else:
            await load.closed_loop()
    sys.stdout.write(f'{json.dumps(load.rows)}\n')

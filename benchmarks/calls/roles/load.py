"""Load generator: open loop at a rate or closed loop with workers."""

import asyncio
import json
import random
import sys
import time
from collections.abc import Awaitable
from typing import Any

from aiohttp import ClientError, ClientSession, TCPConnector

from benchmarks.calls.roles.registry import role


class LoadGenerator:
    """Sends calls and records a result for each.

    Parameters
    ----------
    settings : dict
        ``addresses`` by variant, ``calls`` as method, path and weight,
        ``deadline_ms``, ``seed``, ``duration_s``, and either ``rate`` in
        calls per second for each variant or the number of ``workers``.
    client : ClientSession
        Session for the calls.
    """

    def __init__(self, settings: dict[str, Any], client: ClientSession) -> None:
        """Initialise without results."""
        self._settings = settings
        self._client = client
        self._random = random.Random(settings['seed'])
        self._calls = [call[:2] for call in settings['calls']]
        self._weights = [call[2] for call in settings['calls']]
        self._loop = asyncio.get_running_loop()
        self._request_count = 0
        self.results: list[list[Any]] = []

    async def open_loop(self) -> None:
        """Send calls at exponential intervals with the given mean rate."""
        due_at = self._loop.time()
        ends_at = due_at + self._settings['duration_s']
        calls: list[asyncio.Task[None]] = []
        while due_at < ends_at:
            due_at += self._random.expovariate(self._settings['rate'])
            await asyncio.sleep(due_at - self._loop.time())
            await self._call_variants(calls)
        await asyncio.gather(*calls)

    async def closed_loop(self) -> None:
        """Send calls from workers that each wait only for their answer."""
        ends_at = self._loop.time() + self._settings['duration_s']
        workers = range(self._settings['workers'])
        await asyncio.gather(*(self._work(ends_at) for _ in workers))

    async def _work(self, ends_at: float) -> None:
        variant = next(iter(self._settings['addresses']))
        while self._loop.time() < ends_at:
            await self._call(variant)

    async def _call_variants(self, calls: list[asyncio.Task[None]]) -> None:
        # The variants are called one after another, so that a call does not
        # compete with the call of another variant.
        variants = list(self._settings['addresses'])
        while variants:
            calls.append(asyncio.create_task(self._call(variants.pop(0))))
            await asyncio.sleep(self._settings.get('gap_s', 0))

    async def _call(self, variant: str) -> None:
        method, path = self._random.choices(self._calls, self._weights)[0]
        address = self._settings['addresses'][variant]
        headers = self._headers()
        sent_at = time.perf_counter()
        status, outcome = await self._with_timeout(
            self._send(method, f'http://{address}{path}', headers),
        )
        latency_ms = (time.perf_counter() - sent_at) * 1000
        request_id = headers['x-request-id']
        self.results.append(
            [variant, method, path, request_id, status, outcome, latency_ms],
        )

    def _headers(self) -> dict[str, str]:
        self._request_count += 1
        seed = self._settings['seed']
        return {
            'x-request-id': f'{seed}-{self._request_count}',
            'x-mustardspur-deadline-ms': str(self._settings['deadline_ms']),
            **self._settings.get('headers', {}),
        }

    async def _with_timeout(
        self,
        request: Awaitable[tuple[int, str]],
    ) -> tuple[int, str]:
        try:
            async with asyncio.timeout(self._settings['deadline_ms'] / 1000):
                return await request
        except (ClientError, OSError):
            return 0, ''

    async def _send(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
    ) -> tuple[int, str]:
        body = b'{"paper": 1}' if method == 'POST' else None
        async with self._client.request(
            method,
            url,
            headers=headers,
            data=body,
        ) as answer:
            await answer.read()
            outcome = answer.headers.get('x-mustardspur-outcome', '')
            return answer.status, outcome


@role('load')
async def run_load(settings: dict[str, Any]) -> None:
    """Send the load and print all results as JSON."""
    async with ClientSession(connector=TCPConnector(limit=0)) as client:
        load = LoadGenerator(settings, client)
        if 'rate' in settings:
            await load.open_loop()
        else:
            await load.closed_loop()
    sys.stdout.write(f'{json.dumps(load.results)}\n')

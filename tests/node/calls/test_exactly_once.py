"""Guards against a second run of a call and against false outcomes."""

import asyncio
import random
from collections import Counter
from contextlib import AsyncExitStack
from itertools import chain

import pytest
from aiohttp import web

from tests.node.stand_ins.mesh import Mesh, run_mesh, run_target
from tests.node.stand_ins.views import make_target, make_view

CALLS = 1500
WORKERS = 15
FAULTS = (
    'none',
    'none',
    'none',
    'refuse',
    'reset before',
    'reset after',
    'truncate',
    'other answer',
    'error',
    'late',
)


class CountingTarget:
    """Counts the runs of each call and injects faults.

    Parameters
    ----------
    seed : int
        Seed of the faults.
    runs_by_id : Counter
        Runs by request identifier, shared by all targets.
    """

    def __init__(self, seed: int, runs_by_id: Counter[str]) -> None:
        """Initialise without runs."""
        self._random = random.Random(seed)
        self._runs_by_id = runs_by_id

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run a call, or fail before or after running it."""
        request_id = request.headers['x-request-id']
        await request.read()
        fault = self._random.choice(FAULTS)
        if fault == 'refuse':
            return web.Response(
                status=503,
                headers={'x-mustardspur-refused': '1'},
            )
        if fault == 'reset before':
            _transport(request).abort()
            return web.Response()
        self._runs_by_id[request_id] += 1
        return await _answer(request, request_id, fault)


async def _answer(
    request: web.BaseRequest,
    request_id: str,
    fault: str,
) -> web.StreamResponse:
    headers = {'x-request-id': request_id}
    if fault == 'reset after':
        _transport(request).abort()
    elif fault == 'truncate':
        _transport(request).write(
            b'HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n',
        )
        _transport(request).close()
    elif fault == 'other answer':
        headers['x-request-id'] = 'other'
    elif fault == 'late':
        await asyncio.sleep(0.05)
    return web.Response(
        body=request_id.encode(),
        headers=headers,
        status=500 if fault == 'error' else 200,
    )


def _transport(request: web.BaseRequest) -> asyncio.Transport:
    transport = request.transport
    assert isinstance(transport, asyncio.Transport)
    return transport


def _targets(seed: int, runs_by_id: Counter[str]) -> list[CountingTarget]:
    return [CountingTarget(seed * 10 + index, runs_by_id) for index in range(3)]


async def _run_workers(mesh: Mesh) -> list[tuple[str, int, str | None]]:
    rows_by_worker = await asyncio.gather(
        *(_run_worker(mesh, worker) for worker in range(WORKERS))
    )
    return list(chain.from_iterable(rows_by_worker))


async def _run_worker(
    mesh: Mesh, worker: int
) -> list[tuple[str, int, str | None]]:
    seen: list[tuple[str, int, str | None]] = []
    while len(seen) < CALLS // WORKERS:
        request_id = f'{worker}-{len(seen)}'
        status, outcome, body = await mesh.call(
            'POST',
            '/prescriptions',
            data=b'rx',
            headers={
                'x-request-id': request_id,
                'x-mustardspur-deadline-ms': '40' if worker % 3 else '2000',
            },
        )
        if status == 200:
            assert body == request_id.encode()
        seen.append((request_id, status, outcome))
    return seen


@pytest.mark.parametrize('seed', [1, 2, 3])
async def test_each_call_runs_at_most_once(seed: int) -> None:
    """Guards against calls that run twice and false not-run outcomes."""
    runs_by_id: Counter[str] = Counter()
    retry = {'attempts': 3, 'budget_ratio': 1, 'hedge_after_ms': 0}
    async with AsyncExitStack() as stack:
        addresses = await asyncio.gather(
            *(
                stack.enter_async_context(run_target(target.serve))
                for target in _targets(seed, runs_by_id)
            ),
        )
        addresses.append('127.0.0.1:1')
        view = make_view(
            [make_target(address, slots=64) for address in addresses],
            retries={'fetch': retry, 'once': retry},
        )
        rows = await _run_workers(
            await stack.enter_async_context(run_mesh(view))
        )
    assert len(rows) == CALLS
    assert max(runs_by_id.values()) == 1
    assert not any(_is_false_outcome(row, runs_by_id) for row in rows)
    assert {row[2] for row in rows} == {None, 'not-run', 'unknown'}


def _is_false_outcome(
    row: tuple[str, int, str | None],
    runs_by_id: Counter[str],
) -> bool:
    request_id, status, outcome = row
    runs = runs_by_id[request_id]
    if outcome == 'not-run':
        return runs > 0
    return status == 200 and runs != 1

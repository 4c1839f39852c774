"""Tests of the outcomes that moves are decided on."""

import asyncio

import pytest
from aiohttp import ClientTimeout, web

from tests.node.stand_ins.mesh import run_mesh, run_target
from tests.node.stand_ins.views import make_target, make_view

SLOW_S = 0.3


class TimedTarget:
    """Answers calls after a time.

    Parameters
    ----------
    seconds : float
        Time of a run.
    """

    def __init__(self, seconds: float) -> None:
        """Initialise without runs."""
        self._seconds = seconds
        self.runs = 0

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Count a run and answer it."""
        self.runs += 1
        await asyncio.sleep(self._seconds)
        identifier = request.headers['x-request-id']
        return web.Response(body=b'-', headers={'x-request-id': identifier})


async def test_superseded_attempts_have_an_outcome() -> None:
    """Hedges must not hide the slow calls of a version."""
    slow, fast = TimedTarget(SLOW_S), TimedTarget(0)
    async with (
        run_target(slow.serve) as slow_address,
        run_target(fast.serve) as fast_address,
    ):
        view = make_view(
            [make_target(slow_address), make_target(fast_address)],
            retries={
                'fetch': {
                    'attempts': 3,
                    'budget_ratio': 1,
                    'hedge_after_ms': 20,
                },
                'once': {'attempts': 1, 'budget_ratio': 0, 'hedge_after_ms': 0},
            },
        )
        async with run_mesh(view) as mesh:
            await mesh.repeat(20, 'GET', '/stock')
            await asyncio.sleep(SLOW_S)
            rows = mesh.outcomes.rows
    assert slow.runs
    assert len(rows) == slow.runs + fast.runs


async def test_calls_that_callers_leave_have_an_outcome() -> None:
    """Callers that leave slow calls must not hide a slow version."""
    patience = ClientTimeout(total=SLOW_S / 2)
    async with run_target(TimedTarget(SLOW_S).serve) as address:
        async with run_mesh(make_view([make_target(address)])) as mesh:
            with pytest.raises(TimeoutError):
                await mesh.call('GET', '/stock', timeout=patience)
            await asyncio.sleep(SLOW_S)
            rows = mesh.outcomes.rows
    assert [outcome for _, _, outcome in rows] == ['abandoned']

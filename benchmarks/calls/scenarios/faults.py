"""Errors that callers see while one of four targets goes bad."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from benchmarks.calls.figures import (
    Figures,
    Row,
    duplicate_runs,
    errors,
    percentile,
    wrong_not_run,
)
from benchmarks.calls.processes import Role, counts_of, order, views_of
from benchmarks.calls.roles.node import VIEW_PATH
from benchmarks.calls.scenarios.fronts import SLOTS, load_front, run_front
from benchmarks.calls.scenarios.overload import CAPACITY

Fault = Callable[[str, Role, list[Role]], Awaitable[None]]
DURATION_S: Final = 4
FAULT_AT_S: Final = 1
LOAD: Final = 0.5
faults_by_name: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault."""

    def decorator(inject: Fault) -> Fault:
        faults_by_name[name] = inject
        return inject

    return decorator


@fault('dies')
async def _die(front_name: str, front: Role, targets: list[Role]) -> None:
    await order(targets[0].control, '/die', None)


@fault('drains')
async def _drain(front_name: str, front: Role, targets: list[Role]) -> None:
    if front_name == 'node':
        await order(front.address, VIEW_PATH, views_of(targets[1:], SLOTS))


@fault('slows tenfold')
async def _slow(front_name: str, front: Role, targets: list[Role]) -> None:
    await order(targets[0].control, '/behave', {'slowness': 10})


@fault('lies about its health')
async def _lie(front_name: str, front: Role, targets: list[Role]) -> None:
    await order(targets[0].control, '/behave', {'fail': True})


async def measure_fault(front_name: str, name: str) -> Figures:
    """Return what callers saw from the start of the run."""
    async with run_front(front_name) as (front, targets):
        load = asyncio.create_task(
            load_front(front, CAPACITY * LOAD, DURATION_S, seed=6),
        )
        # The load generator needs a moment to start.
        await asyncio.sleep(FAULT_AT_S)
        await faults_by_name[name](front_name, front, targets)
        injected_at = asyncio.get_running_loop().time()
        rows = await load
        counts = await counts_of(targets)
    last_at = counts[0]['last_arrival_at']
    return {
        'calls': len(rows),
        'errors': errors(rows),
        'unknown': _outcomes(rows, 'unknown'),
        'not_run': _outcomes(rows, 'not-run'),
        'p99_ms': percentile(rows, 0.99),
        'new_work_s': max(last_at - injected_at, 0),
        'duplicate_runs': duplicate_runs(counts),
        'wrong_not_run_answers': wrong_not_run(rows, counts),
    }


def _outcomes(rows: list[Row], outcome: str) -> int:
    return sum(row.outcome == outcome for row in rows)

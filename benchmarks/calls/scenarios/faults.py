"""Errors that callers see while one of four targets has a fault."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from benchmarks.calls.figures import (
    CallResult,
    Figures,
    duplicate_runs,
    errors,
    percentile,
    wrong_not_run,
)
from benchmarks.calls.processes import (
    RoleProcess,
    read_counts,
    send_command,
    target_settings,
)
from benchmarks.calls.roles.node import VIEW_PATH
from benchmarks.calls.scenarios.overload import CAPACITY
from benchmarks.calls.scenarios.proxies import SLOTS, load_proxy, run_proxy

Fault = Callable[[str, RoleProcess, list[RoleProcess]], Awaitable[None]]
DURATION_S: Final = 4
FAULT_AT_S: Final = 1
LOAD: Final = 0.5
faults_by_name: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register the injection of a fault under a name."""

    def decorator(inject: Fault) -> Fault:
        faults_by_name[name] = inject
        return inject

    return decorator


@fault('dies')
async def _close_all(
    proxy_name: str, proxy: RoleProcess, targets: list[RoleProcess]
) -> None:
    await send_command(targets[0].control, '/die', None)


@fault('drains')
async def _drain(
    proxy_name: str, proxy: RoleProcess, targets: list[RoleProcess]
) -> None:
    if proxy_name == 'node':
        await send_command(
            proxy.address, VIEW_PATH, target_settings(targets[1:], SLOTS)
        )


@fault('slows tenfold')
async def _slow(
    proxy_name: str, proxy: RoleProcess, targets: list[RoleProcess]
) -> None:
    await send_command(targets[0].control, '/behave', {'slowness': 10})


@fault('lies about its health')
async def _fail_while_healthy(
    proxy_name: str, proxy: RoleProcess, targets: list[RoleProcess]
) -> None:
    await send_command(targets[0].control, '/behave', {'fail': True})


async def measure_fault(proxy_name: str, name: str) -> Figures:
    """Return the figures of a run during which a fault is injected."""
    async with run_proxy(proxy_name) as (proxy, targets):
        load = asyncio.create_task(
            load_proxy(proxy, CAPACITY * LOAD, DURATION_S, seed=6),
        )
        # The load generator needs a moment to start.
        await asyncio.sleep(FAULT_AT_S)
        await faults_by_name[name](proxy_name, proxy, targets)
        injected_at = asyncio.get_running_loop().time()
        results = await load
        counts = await read_counts(targets)
    last_at = counts[0]['last_arrival_at']
    return {
        'calls': len(results),
        'errors': errors(results),
        'unknown': _count_outcome(results, 'unknown'),
        'not_run': _count_outcome(results, 'not-run'),
        'p99_ms': percentile(results, 0.99),
        'new_work_s': max(last_at - injected_at, 0),
        'duplicate_runs': duplicate_runs(counts),
        'wrong_not_run_answers': wrong_not_run(results, counts),
    }


def _count_outcome(results: list[CallResult], outcome: str) -> int:
    return sum(result.outcome == outcome for result in results)

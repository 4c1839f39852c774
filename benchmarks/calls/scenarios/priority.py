"""Latency of the quick class alone and under bulk overload."""

import asyncio
from typing import Final

from benchmarks.calls.figures import Figures, errors, percentile
from benchmarks.calls.processes import RoleProcess
from benchmarks.calls.scenarios.overload import CAPACITY
from benchmarks.calls.scenarios.proxies import load_proxy, run_proxy
from benchmarks.calls.traffic import all_kinds

QUICK_RATE: Final = 60
DURATION_S: Final = 3
QUICK: Final = tuple(kind for kind in all_kinds() if kind.quick)
BULK: Final = tuple(kind for kind in all_kinds() if not kind.quick)


async def measure_priority(proxy_name: str) -> Figures:
    """Return the latency of the quick class alone and under bulk load."""
    return {
        'alone': await _measure(proxy_name, 0),
        'under_bulk': await _measure(proxy_name, 3 * CAPACITY),
    }


def p99_ratio(cases: Figures) -> float:
    """Return the p99 latency under bulk load relative to the one alone."""
    ratio: float = cases['under_bulk']['p99_ms'] / cases['alone']['p99_ms']
    return ratio


async def _measure(proxy_name: str, bulk_rate: float) -> Figures:
    async with run_proxy(proxy_name) as (proxy, _):
        bulk = asyncio.create_task(_load_bulk(proxy, bulk_rate))
        results = await load_proxy(proxy, QUICK_RATE, DURATION_S, QUICK, seed=3)
        await bulk
    return {
        'p50_ms': percentile(results, 0.5),
        'p99_ms': percentile(results, 0.99),
        'error_share': errors(results) / len(results),
    }


async def _load_bulk(proxy: RoleProcess, rate: float) -> None:
    if rate:
        await load_proxy(proxy, rate, DURATION_S, BULK, seed=4)

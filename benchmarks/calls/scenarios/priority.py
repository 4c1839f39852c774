"""Latency of the quick class alone and under bulk overload."""

import asyncio
from typing import Final

from benchmarks.calls.figures import Figures, errors, percentile
from benchmarks.calls.processes import Role
from benchmarks.calls.scenarios.fronts import load_front, run_front
from benchmarks.calls.scenarios.overload import CAPACITY
from benchmarks.calls.traffic import all_kinds

QUICK_RATE: Final = 60
DURATION_S: Final = 3
QUICK: Final = tuple(kind for kind in all_kinds() if kind.quick)
BULK: Final = tuple(kind for kind in all_kinds() if not kind.quick)


async def measure_priority(front_name: str) -> Figures:
    """Return the quick class's latency in both cases."""
    return {
        'alone': await _measure(front_name, 0),
        'under_bulk': await _measure(front_name, 3 * CAPACITY),
    }


def p99_ratio(cases: Figures) -> float:
    """Return how much bulk overload raises the quick class's latency."""
    ratio: float = cases['under_bulk']['p99_ms'] / cases['alone']['p99_ms']
    return ratio


async def _measure(front_name: str, bulk_rate: float) -> Figures:
    async with run_front(front_name) as (front, _):
        bulk = asyncio.create_task(_bulk(front, bulk_rate))
        rows = await load_front(front, QUICK_RATE, DURATION_S, QUICK, seed=3)
        await bulk
    return {
        'p50_ms': percentile(rows, 0.5),
        'p99_ms': percentile(rows, 0.99),
        'error_share': errors(rows) / len(rows),
    }


async def _bulk(front: Role, rate: float) -> None:
    if rate:
        await load_front(front, rate, DURATION_S, BULK, seed=4)

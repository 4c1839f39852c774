"""Calls at a rate or with a number open at a time."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from mustardspur_core.record import Record

# Makes one call and returns its status.
Call = Callable[[], Awaitable[int]]
_GOOD = 200


class Figures(Record):
    """Times of the good calls and the number of the others."""

    __slots__ = ('p50_ms', 'p99_ms', 'per_s', 'failed')
    p50_ms: float
    p99_ms: float
    per_s: float
    failed: int


async def measure(
    call: Call,
    calls: int,
    rate_per_s: float,
    concurrency: int = 0,
) -> Figures:
    """Make calls and return their figures.

    Parameters
    ----------
    rate_per_s : float
        Calls that are begun a second, 0 for as many as `concurrency` lets.
    """
    gate = asyncio.Semaphore(concurrency or calls)
    began_s = time.perf_counter()
    gap_s = 1 / rate_per_s if rate_per_s else 0
    made = await asyncio.gather(
        *(_time_one(call, gate, number * gap_s) for number in range(calls)),
    )
    took_s = time.perf_counter() - began_s
    latencies = sorted(latency for latency in made if latency is not None)
    return Figures(
        p50_ms=latencies[len(latencies) // 2],
        p99_ms=latencies[len(latencies) * 99 // 100],
        per_s=calls / took_s,
        failed=calls - len(latencies),
    )


async def _time_one(
    call: Call,
    gate: asyncio.Semaphore,
    delay_s: float,
) -> float | None:
    await asyncio.sleep(delay_s)
    async with gate:
        began_s = time.perf_counter()
        status = await call()
        latency_ms = (time.perf_counter() - began_s) * 1000
    return latency_ms if status == _GOOD else None

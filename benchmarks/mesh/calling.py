"""Calls at a fixed rate or with a fixed number in flight."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from mustardspur_core.record import Record

# Makes one call and returns its status.
Call = Callable[[], Awaitable[int]]
_STATUS_OK = 200


class LatencyFigures(Record):
    """Latency of the calls with status 200, and the number of other calls."""

    __slots__ = ('p50_ms', 'p99_ms', 'calls_per_s', 'failed')
    p50_ms: float
    p99_ms: float
    calls_per_s: float
    failed: int


async def measure(
    call: Call,
    calls: int,
    rate_per_s: float,
    concurrency: int = 0,
) -> LatencyFigures:
    """Make calls and return their latency and throughput.

    Parameters
    ----------
    call : callable
        Makes one call and returns its status.
    calls : int
        Number of calls.
    rate_per_s : float
        Calls started per second, 0 to start all at once.
    concurrency : int
        Largest number of calls in flight, 0 for no limit.
    """
    semaphore = asyncio.Semaphore(concurrency or calls)
    started_s = time.perf_counter()
    interval_s = 1 / rate_per_s if rate_per_s else 0
    results = await asyncio.gather(
        *(
            _time_one(call, semaphore, number * interval_s)
            for number in range(calls)
        ),
    )
    duration_s = time.perf_counter() - started_s
    latencies = sorted(latency for latency in results if latency is not None)
    return LatencyFigures(
        p50_ms=latencies[len(latencies) // 2],
        p99_ms=latencies[len(latencies) * 99 // 100],
        calls_per_s=calls / duration_s,
        failed=calls - len(latencies),
    )


async def _time_one(
    call: Call,
    semaphore: asyncio.Semaphore,
    delay_s: float,
) -> float | None:
    await asyncio.sleep(delay_s)
    async with semaphore:
        started_s = time.perf_counter()
        status = await call()
        latency_ms = (time.perf_counter() - started_s) * 1000
    return latency_ms if status == _STATUS_OK else None

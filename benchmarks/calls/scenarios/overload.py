"""Goodput and wasted work at half to four times the capacity."""

from functools import partial
from typing import Final

from benchmarks.calls.figures import (
    Figures,
    duplicate_runs,
    goodput,
    percentile,
    wrong_not_run,
)
from benchmarks.calls.processes import read_counts
from benchmarks.calls.scenarios.each import measure_each
from benchmarks.calls.scenarios.proxies import (
    SLOTS,
    TARGETS,
    load_proxy,
    run_proxy,
)
from benchmarks.calls.traffic import all_kinds, work_ms_of

LOADS: Final = (0.5, 1, 2, 4)
DURATION_S: Final = 3
CAPACITY: Final = TARGETS * SLOTS / work_ms_of(all_kinds()) * 1000


async def measure_overload(proxy_name: str) -> Figures:
    """Return the figures of a proxy by load in multiples of capacity."""
    by_load = await measure_each(LOADS, partial(_measure, proxy_name))
    return {str(load): figures for load, figures in by_load.items()}


async def _measure(proxy_name: str, load: float) -> Figures:
    async with run_proxy(proxy_name) as (proxy, targets):
        results = await load_proxy(proxy, CAPACITY * load, DURATION_S, seed=2)
        counts = await read_counts(targets)
    runs = [count['counts'].get('runs', 0) for count in counts]
    succeeded = sum(result.succeeded for result in results)
    return {
        'goodput_per_s': goodput(results, DURATION_S),
        'good_share': succeeded / len(results),
        'wasted_share': 1 - succeeded / max(sum(runs), 1),
        'p99_ms': percentile(results, 0.99),
        'spread_max_over_mean': max(runs) * TARGETS / max(sum(runs), 1),
        'duplicate_runs': duplicate_runs(counts),
        'wrong_not_run_answers': wrong_not_run(results, counts),
    }

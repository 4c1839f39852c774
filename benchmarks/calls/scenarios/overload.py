"""Goodput and wasted work from half to four times the capacity."""

from functools import partial
from typing import Final

from benchmarks.calls.figures import (
    Figures,
    duplicate_runs,
    goodput,
    percentile,
    wrong_not_run,
)
from benchmarks.calls.processes import counts_of
from benchmarks.calls.scenarios.each import measure_each
from benchmarks.calls.scenarios.fronts import (
    SLOTS,
    TARGETS,
    load_front,
    run_front,
)
from benchmarks.calls.traffic import all_kinds, work_ms_of

LOADS: Final = (0.5, 1, 2, 4)
DURATION_S: Final = 3
CAPACITY: Final = TARGETS * SLOTS / work_ms_of(all_kinds()) * 1000


async def measure_overload(front_name: str) -> Figures:
    """Return the figures of a front by load."""
    by_load = await measure_each(LOADS, partial(_measure, front_name))
    return {str(load): figures for load, figures in by_load.items()}


async def _measure(front_name: str, load: float) -> Figures:
    async with run_front(front_name) as (front, targets):
        rows = await load_front(front, CAPACITY * load, DURATION_S, seed=2)
        counts = await counts_of(targets)
    runs = [count['counts'].get('runs', 0) for count in counts]
    good = sum(row.good for row in rows)
    return {
        'goodput_per_s': goodput(rows, DURATION_S),
        'good_share': good / len(rows),
        'wasted_share': 1 - good / max(sum(runs), 1),
        'p99_ms': percentile(rows, 0.99),
        'spread_max_over_mean': max(runs) * TARGETS / max(sum(runs), 1),
        'duplicate_runs': duplicate_runs(counts),
        'wrong_not_run_answers': wrong_not_run(rows, counts),
    }

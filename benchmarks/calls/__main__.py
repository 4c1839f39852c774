"""Runs all scenarios, prints tables, writes ``build/bench/calls.json``."""

import asyncio
import json
import os
import sys
import time
from pathlib import Path
from typing import Any, Final

from benchmarks.calls.figures import Figures
from benchmarks.calls.scenarios.amplification import measure_amplification
from benchmarks.calls.scenarios.each import measure_each
from benchmarks.calls.scenarios.faults import faults_by_name, measure_fault
from benchmarks.calls.scenarios.fronts import FRONTS
from benchmarks.calls.scenarios.latency import measure_latency
from benchmarks.calls.scenarios.overload import measure_overload
from benchmarks.calls.scenarios.priority import (
    measure_priority,
    p99_ratio,
)
from benchmarks.calls.tables import print_table

OUTPUT: Final = Path('build/bench/calls.json')
NODE, NAIVE = FRONTS


async def measure() -> dict[str, Any]:
    """Run the scenarios one after another."""
    figures: dict[str, Any] = {
        'latency': await measure_latency(),
        'overload': await measure_each(FRONTS, measure_overload),
        'priority': await measure_each(FRONTS, measure_priority),
        'amplification': {
            NODE: await measure_amplification(NODE, 20, 3),
            NAIVE: await measure_amplification(NAIVE, 1, 1),
        },
    }
    pairs = await measure_each(faults_by_name, _measure_pair)
    figures['faults'] = {
        f'{front}, target {name}': row
        for name, pair in pairs.items()
        for front, row in pair.items()
    }
    return figures


def print_tables(figures: dict[str, Any]) -> None:
    """Print the figures of all scenarios."""
    print_table('Latency at 82 calls/s, and saturation', figures['latency'])
    for front in FRONTS:
        print_table(
            f'{front}: load in multiples of the capacity',
            figures['overload'][front],
        )
        print_table(f'{front}: quick class', figures['priority'][front])
    print_table(
        'Failing leaf at depth 9, two attempts',
        figures['amplification'],
    )
    print_table('One of four targets', figures['faults'])


async def _measure_pair(name: str) -> dict[str, Figures]:
    # Side by side, so that other work on the machine hits both alike.
    pair = await asyncio.gather(
        *(measure_fault(front, name) for front in FRONTS),
    )
    return dict(zip(FRONTS, pair, strict=True))


def summarize(figures: dict[str, Any]) -> dict[str, Any]:
    """Return the named figures, the plain proxy's under ``baseline``."""
    summary = _summary(figures, NODE)
    summary['baseline'] = _summary(figures, NAIVE)
    two_hops = figures['latency']['two_hops']
    summary['baseline']['two_hops'] = {
        'added_p50_ms': two_hops['added_p50_ms'],
        'added_p99_ms': two_hops['added_p99_ms'],
    }
    summary['details'] = figures
    summary['load_average'] = os.getloadavg()
    return summary


def _summary(figures: dict[str, Any], front: str) -> dict[str, Any]:
    latency = figures['latency'][front]
    loads = figures['overload'][front]
    faults = [
        row for name, row in figures['faults'].items() if name.startswith(front)
    ]
    rows = [*loads.values(), *faults]
    drains = figures['faults'][f'{front}, target drains']
    at_capacity = loads['1']['goodput_per_s']
    return {
        'added_p50_ms': latency['added_p50_ms'],
        'added_p99_ms': latency['added_p99_ms'],
        'calls_per_s_per_core': latency['calls_per_s_per_core'],
        'goodput_ratio_at_4x': loads['4']['goodput_per_s'] / at_capacity,
        'quick_p99_ratio_under_bulk': p99_ratio(figures['priority'][front]),
        'amplification_depth_9': figures['amplification'][front][
            'leaf_runs_per_call'
        ],
        'duplicate_runs': _total(rows, 'duplicate_runs'),
        'wrong_not_run_answers': _total(rows, 'wrong_not_run_answers'),
        'new_work_after_leaving_s': drains['new_work_s'],
    }


def _total(rows: list[Figures], name: str) -> int:
    return sum(row[name] for row in rows)


def main() -> None:
    """Run the benchmark."""
    started_at = time.monotonic()
    summary = summarize(asyncio.run(measure()))
    summary['duration_s'] = time.monotonic() - started_at
    print_tables(summary['details'])
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT.write_text(json.dumps(summary, indent=2), 'utf-8')
    shown = {
        name: {'node': figure, 'baseline': summary['baseline'].get(name)}
        for name, figure in summary.items()
        if name in summary['baseline']
    }
    print_table('Summary; other work runs on this machine', shown)
    load = ' '.join(f'{part:.1f}' for part in summary['load_average'])
    sys.stdout.write(f'load average {load}, {summary["duration_s"]:.0f} s\n')


if __name__ == '__main__':
    main()

"""Runs all scenarios, prints tables and writes ``build/bench/calls.json``."""

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
from benchmarks.calls.scenarios.latency import measure_latency
from benchmarks.calls.scenarios.overload import measure_overload
from benchmarks.calls.scenarios.priority import (
    measure_priority,
    p99_ratio,
)
from benchmarks.calls.scenarios.proxies import PROXIES
from benchmarks.calls.tables import print_table

OUTPUT: Final = Path('build/bench/calls.json')
NODE, NAIVE = PROXIES


async def measure() -> dict[str, Any]:
    """Run the scenarios one after another and return their figures."""
    figures: dict[str, Any] = {
        'latency': await measure_latency(),
        'overload': await measure_each(PROXIES, measure_overload),
        'priority': await measure_each(PROXIES, measure_priority),
        'amplification': {
            NODE: await measure_amplification(NODE, 20, 3),
            NAIVE: await measure_amplification(NAIVE, 1, 1),
        },
    }
    pairs = await measure_each(faults_by_name, _measure_pair)
    figures['faults'] = {
        f'{proxy}, target {name}': row
        for name, pair in pairs.items()
        for proxy, row in pair.items()
    }
    return figures


def print_tables(figures: dict[str, Any]) -> None:
    """Print the figures of all scenarios."""
    print_table('Latency at 82 calls/s, and saturation', figures['latency'])
    for proxy in PROXIES:
        print_table(
            f'{proxy}: load in multiples of the capacity',
            figures['overload'][proxy],
        )
        print_table(f'{proxy}: quick class', figures['priority'][proxy])
    print_table(
        'Failing leaf at depth 9, two attempts',
        figures['amplification'],
    )
    print_table('One of four targets', figures['faults'])


async def _measure_pair(name: str) -> dict[str, Figures]:
    # Both run concurrently, so that other load on the machine affects them
    # equally.
    pair = await asyncio.gather(
        *(measure_fault(proxy, name) for proxy in PROXIES),
    )
    return dict(zip(PROXIES, pair, strict=True))


def summarize(figures: dict[str, Any]) -> dict[str, Any]:
    """Return the key figures, with those of the plain proxy as ``baseline``."""
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


def _summary(figures: dict[str, Any], proxy: str) -> dict[str, Any]:
    latency = figures['latency'][proxy]
    loads = figures['overload'][proxy]
    faults = [
        row for name, row in figures['faults'].items() if name.startswith(proxy)
    ]
    rows = [*loads.values(), *faults]
    drains = figures['faults'][f'{proxy}, target drains']
    at_capacity = loads['1']['goodput_per_s']
    return {
        'added_p50_ms': latency['added_p50_ms'],
        'added_p99_ms': latency['added_p99_ms'],
        'calls_per_s_per_core': latency['calls_per_s_per_core'],
        'goodput_ratio_at_4x': loads['4']['goodput_per_s'] / at_capacity,
        'quick_p99_ratio_under_bulk': p99_ratio(figures['priority'][proxy]),
        'amplification_depth_9': figures['amplification'][proxy][
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
    comparison = {
        name: {'node': figure, 'baseline': summary['baseline'].get(name)}
        for name, figure in summary.items()
        if name in summary['baseline']
    }
    print_table('Summary; other work runs on this machine', comparison)
    load = ' '.join(f'{average:.1f}' for average in summary['load_average'])
    sys.stdout.write(f'load average {load}, {summary["duration_s"]:.0f} s\n')


if __name__ == '__main__':
    main()

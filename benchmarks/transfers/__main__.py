"""Plays transfers in virtual time, and prints how they are decided."""

import argparse
import json
import time
from itertools import product
from multiprocessing import Pool
from pathlib import Path
from typing import Final

from rich.console import Console
from rich.table import Table

from benchmarks.transfers.cases import (
    Case,
    CaseFigures,
    all_cases,
    case_figures,
    run_play,
)
from benchmarks.transfers.judges import JUDGES

OUTPUT: Final = Path('build/bench/transfers.json')
DEFAULT_SEEDS: Final = 200
PROCESS_COUNT: Final = 2
PLAYS_PER_CHUNK: Final = 20
_COLUMNS: Final = (
    'fault',
    'load',
    'right',
    'over',
    'p50 of allowed',
    'p99',
    'max',
)


def main() -> None:
    """Play all cases; print a table and write the figures to a file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=DEFAULT_SEEDS)
    parser.add_argument('--kinds', nargs='+', default=[''], help='prefixes')
    parser.add_argument('--judge', choices=list(JUDGES), default='sums')
    parser.add_argument('--processes', type=int, default=PROCESS_COUNT)
    arguments = parser.parse_args()
    started_s = time.perf_counter()
    prefixes = tuple(arguments.kinds)
    cases = [case for case in all_cases() if case.kind.startswith(prefixes)]
    rows = _play(cases, arguments)
    console = Console(width=120)
    console.print(_table(rows))
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT.write_text(f'{json.dumps(list(map(_as_json, rows)), indent=1)}\n')
    took_s = time.perf_counter() - started_s
    console.print(f'{OUTPUT}: {arguments.seeds} plays a row in {took_s:.0f} s')


def _play(
    cases: list[Case], arguments: argparse.Namespace
) -> list[CaseFigures]:
    seeds = arguments.seeds
    jobs = list(product(cases, range(seeds), [arguments.judge]))
    with Pool(arguments.processes) as pool:
        plays = pool.starmap(run_play, jobs, PLAYS_PER_CHUNK)
    return [
        case_figures(case, plays[number * seeds : (number + 1) * seeds])
        for number, case in enumerate(cases)
    ]


def _table(rows: list[CaseFigures]) -> Table:
    table = Table(*_COLUMNS)
    for row in rows:
        figures = (
            row.right,
            row.over,
            row.median_used,
            row.upper_used,
            row.max_used,
        )
        # The limit on calls is one of bad versions.
        shown = figures if row.is_bad else figures[:1]
        table.add_row(*row.case, *(f'{figure:.3f}' for figure in shown))
    return table


def _as_json(row: CaseFigures) -> dict[str, object]:
    fields = {name: getattr(row, name) for name in row.__slots__}
    return {**fields, 'case': row.case._asdict()}


if __name__ == '__main__':
    main()

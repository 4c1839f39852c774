"""Runs the demo: ``python -m demo``."""

import argparse
import asyncio
import json
import os
import shutil
import subprocess
import sys
import time
from pathlib import Path
from typing import Any, Final

from demo.mesh import DemoMesh
from demo.processes import BINARY_FOLDER
from demo.promises import check_promises
from demo.scenario import DemoEnvironment, DemoRun, run_demo
from demo.timelines import convergence_s
from rich.console import Console
from rich.table import Table

BUILD: Final = Path('build')
# Range of the second number of the loopback addresses 127.N.0.0. The process
# identifier selects one, so that demos can run side by side.
FIRST_NETWORK: Final = 64
NETWORK_COUNT: Final = 128


def main() -> int:
    """Run the demo and return 0 if every promise held, else 1."""
    folder = BUILD / 'demo'
    shutil.rmtree(folder, ignore_errors=True)
    started_s = time.monotonic()
    mesh = DemoMesh(
        folder.resolve(), FIRST_NETWORK + os.getpid() % NETWORK_COUNT
    )
    inject_fault = (
        DemoEnvironment.kill_several
        if _options().faults
        else DemoEnvironment.kill_leader
    )
    run = asyncio.run(run_demo(mesh, inject_fault))
    failures = check_promises(run)
    measures = _measures(run, failures, time.monotonic() - started_s)
    text = json.dumps(measures, indent=2)
    (BUILD / 'demo.json').write_text(f'{text}\n', encoding='utf-8')
    _print_timelines(mesh, run)
    _print_tables(measures, failures)
    return 1 if any(failures.values()) else 0


def _options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog='demo', description=__doc__)
    parser.add_argument(
        '--faults',
        action='store_true',
        help='kill two control instances and a server in the first move',
    )
    return parser.parse_args()


def _measures(
    run: DemoRun,
    failures: dict[str, str],
    duration_s: float,
) -> dict[str, Any]:
    times = sorted(convergence_s(run.folder))
    return {
        'calls': run.caller.calls,
        'calls_lost': run.caller.lost,
        'answers': dict(run.caller.answers),
        'no_answer': dict(run.caller.unanswered_by_node),
        'control_bytes': run.control_bytes,
        'changes': len(times),
        'convergence_max_s': max(times, default=None),
        'convergence_median_s': times[len(times) // 2] if times else None,
        'good_move': run.good_move['state'],
        'bad_move': run.bad_move['state'],
        'bad_move_reason': run.bad_move['reason'],
        'killed': run.killed,
        'took_s': duration_s,
        'promises': {
            text: reason or 'held' for text, reason in failures.items()
        },
    }


def _print_timelines(mesh: DemoMesh, run: DemoRun) -> None:
    files = sorted(map(str, (mesh.folder / 'timeline').glob('*.jsonl')))
    picture_path = str(BUILD / 'demo-timeline.svg')
    for move in (run.good_move, run.bad_move):
        subprocess.run(
            [
                str(BINARY_FOLDER / 'mustardspur'),
                'timeline',
                '--move',
                move['id'],
                '--picture',
                picture_path,
                *files,
            ],
            check=True,
        )


def _print_tables(measures: dict[str, Any], failures: dict[str, str]) -> None:
    console = Console()
    table = Table('measure', 'value')
    for name, value in measures.items():
        if name != 'promises':
            table.add_row(name, str(value))
    console.print(table)
    promises = Table('promise', 'result')
    for text, reason in failures.items():
        promises.add_row(text, f'BROKEN: {reason}' if reason else 'held')
    console.print(promises)


if __name__ == '__main__':
    sys.exit(main())

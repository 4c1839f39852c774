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

from demo.mesh import Mesh
from demo.processes import BINARIES
from demo.promises import check_promises
from demo.scenario import DemoRun, Stage, run_demo
from demo.timelines import convergence_s
from rich.console import Console
from rich.table import Table

BUILD: Final = Path('build')
# The demo takes one of these second numbers of 127.x.0.0.
FIRST_NETWORK: Final = 64
NETWORKS: Final = 128


def main() -> int:
    """Play the demo and return 0 if every promise held."""
    folder = BUILD / 'demo'
    shutil.rmtree(folder, ignore_errors=True)
    started_s = time.monotonic()
    mesh = Mesh(folder.resolve(), FIRST_NETWORK + os.getpid() % NETWORKS)
    kill = Stage.kill_many if _options().faults else Stage.kill_leader
    run = asyncio.run(run_demo(mesh, kill))
    broken = check_promises(run)
    measures = _measures(run, broken, time.monotonic() - started_s)
    text = json.dumps(measures, indent=2)
    (BUILD / 'demo.json').write_text(f'{text}\n', encoding='utf-8')
    _show_timeline(mesh, run)
    _show(measures, broken)
    return 1 if any(broken.values()) else 0


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
    broken: dict[str, str],
    took_s: float,
) -> dict[str, Any]:
    times = sorted(convergence_s(run.folder))
    return {
        'calls': run.caller.calls,
        'calls_lost': run.caller.lost,
        'answers': dict(run.caller.answers),
        'no_answer': dict(run.caller.unanswered),
        'control_bytes': run.control_bytes,
        'changes': len(times),
        'convergence_max_s': max(times, default=None),
        'convergence_median_s': times[len(times) // 2] if times else None,
        'good_move': run.good_move['state'],
        'bad_move': run.bad_move['state'],
        'bad_move_reason': run.bad_move['reason'],
        'killed': run.killed,
        'took_s': took_s,
        'promises': {text: why or 'held' for text, why in broken.items()},
    }


def _show_timeline(mesh: Mesh, run: DemoRun) -> None:
    files = sorted(map(str, (mesh.folder / 'timeline').glob('*.jsonl')))
    picture = str(BUILD / 'demo-timeline.svg')
    for move in (run.good_move, run.bad_move):
        subprocess.run(
            [
                str(BINARIES / 'mustardspur'),
                'timeline',
                '--move',
                move['id'],
                '--picture',
                picture,
                *files,
            ],
            check=True,
        )


def _show(measures: dict[str, Any], broken: dict[str, str]) -> None:
    console = Console()
    table = Table('measure', 'value')
    for name, value in measures.items():
        if name != 'promises':
            table.add_row(name, str(value))
    console.print(table)
    promises = Table('promise', 'result')
    for text, why in broken.items():
        promises.add_row(text, f'BROKEN: {why}' if why else 'held')
    console.print(promises)


if __name__ == '__main__':
    sys.exit(main())

"""Plays deployments: python -m tests.platform.deployment --help."""

import argparse
import json
import shutil
import sys
import tempfile
from pathlib import Path
from typing import Any, Final

import uvloop

from tests.platform.deployment.run import KINDS, play_deployment
from tests.platform.deployment.sites import SITES
from tests.platform.final_faults.steps import FINAL

_LISTS: Final = ('broken', 'broken_off', 'ended')
_SHOWN: Final = 5


def main() -> int:
    """Play seeds one after the other; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sites', nargs='+', choices=SITES, default=SITES)
    parser.add_argument('--kinds', nargs='+', choices=KINDS, default=KINDS)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--load', type=float, default=1, help='part of it')
    parser.add_argument(
        '--max-ends',
        type=int,
        help='ends by itself after which a process is not started again',
    )
    parser.add_argument(
        '--final',
        choices=sorted(FINAL),
        help='final fault; those with power need the kind recorded',
    )
    parser.add_argument('--logs', type=Path, help='keeps those of red seeds')
    options = parser.parse_args()
    red = False
    for seed in range(options.seed, options.seed + options.count):
        for site in options.sites:
            for kind in options.kinds:
                red |= _play(site, kind, seed, options)
    return int(red)


def _play(site: str, kind: str, seed: int, options: argparse.Namespace) -> bool:
    folder = Path(tempfile.mkdtemp(prefix='deployment-'))
    changes = {'max_ends': options.max_ends, 'final': options.final}
    play = play_deployment(
        site,
        kind,
        seed,
        folder,
        load=options.load,
        length_s=options.seconds,
        **{name: value for name, value in changes.items() if value is not None},
    )
    result = uvloop.run(play)
    red = any(result[name] for name in _LISTS)
    if red and options.logs is not None:
        kept = options.logs / f'{site}-{kind}-{seed}'
        shutil.copytree(folder, kept, dirs_exist_ok=True)
        (kept / 'result.json').write_text(json.dumps(result, indent=1), 'utf-8')
    shutil.rmtree(folder, ignore_errors=True)
    _print(result)
    return red


def _print(result: dict[str, Any]) -> None:
    short = result.copy()
    for name in _LISTS:
        short[name] = [len(result[name]), *result[name][:_SHOWN]]
    sys.stdout.write(f'{json.dumps(short)}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())

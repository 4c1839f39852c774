"""Plays final faults: python -m tests.platform.final_faults --help."""

import argparse
import asyncio
import json
import shutil
import sys
import tempfile
from pathlib import Path

from tests.platform.final_faults.run import KINDS, play_seed


def main() -> int:
    """Play seeds of the given kinds; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--kinds', nargs='+', choices=KINDS, default=KINDS)
    parser.add_argument('--seed', type=int, default=0)
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--beside', type=int, default=1)
    parser.add_argument('--logs', type=Path, help='keeps those of red seeds')
    return asyncio.run(_play_all(parser.parse_args()))


async def _play_all(arguments: argparse.Namespace) -> int:
    plays = [
        (kind, seed)
        for seed in range(arguments.seed, arguments.seed + arguments.count)
        for kind in arguments.kinds
    ]
    beside = asyncio.Semaphore(arguments.beside)
    results = await asyncio.gather(
        *(_play(kind, seed, beside, arguments.logs) for kind, seed in plays)
    )
    return int(any(results))


async def _play(
    kind: str, seed: int, beside: asyncio.Semaphore, logs: Path | None
) -> bool:
    async with beside:
        folder = Path(tempfile.mkdtemp(prefix='final-fault-'))
        play = await play_seed(kind, seed, folder)
    row = {
        'kind': kind,
        'seed': seed,
        'acks': play.orders.acks,
        'broken': play.orders.broken[:10],
        'ended': play.ended,
        'steps': play.steps,
    }
    sys.stdout.write(f'{json.dumps(row)}\n')
    sys.stdout.flush()
    if play.orders.broken and logs is not None:
        shutil.copytree(folder, logs / f'{kind}-{seed}', dirs_exist_ok=True)
    shutil.rmtree(folder, ignore_errors=True)
    return bool(play.orders.broken)


if __name__ == '__main__':
    sys.exit(main())

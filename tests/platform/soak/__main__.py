"""Runs soaks: ``python -m tests.platform.soak --seed 1 --count 50``."""

import argparse
import asyncio
import shutil
import sys
import tempfile
from pathlib import Path

from tests.platform.soak.run import soak


def main() -> int:
    """Run the seeds one after the other; return 1 if a promise is broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument(
        '--logs', type=Path, help='folder for logs; those of red seeds stay'
    )
    options = parser.parse_args()
    red: list[int] = []
    for seed in range(options.seed, options.seed + options.count):
        folder = Path(tempfile.mkdtemp(dir=options.logs, prefix=f'{seed}-'))
        result = asyncio.run(soak(seed, options.seconds, folder))
        sys.stdout.write(f'{result}\n')
        sys.stdout.flush()
        if result.findings:
            red.append(seed)
        else:
            shutil.rmtree(folder)
    sys.stdout.write(f'red seeds: {red}\n')
    return int(bool(red))


if __name__ == '__main__':
    sys.exit(main())

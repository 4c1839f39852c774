"""Command line of the model check."""

import argparse
import sys
import time

from mustardspur_agreement.checking.search import Found, Search
from mustardspur_agreement.checking.setups import SETUPS_BY_NAME


def main() -> int:
    """Search every setup; return 1 if a property is violated."""
    options = _parser().parse_args()
    broken = [
        name
        for name in options.setup or SETUPS_BY_NAME
        if _search(name, options.depth).broken
    ]
    return int(bool(broken))


def _search(name: str, depth: int) -> Found:
    setup = SETUPS_BY_NAME[name]
    started_s = time.monotonic()
    sys.stdout.write(f'{name}: {setup}\n')
    found = Search(setup).run(depth, _report)
    lasted_s = time.monotonic() - started_s
    sys.stdout.write(f'{name}: {_summary(found)}, {lasted_s:.1f} s\n')
    sys.stdout.writelines(f'    {action}\n' for action in found.trace)
    return found


def _report(found: Found) -> None:
    sys.stdout.write(f'    depth {found.depth}, {found.states} states\n')
    sys.stdout.flush()


def _summary(found: Found) -> str:
    searched = f'{found.states} states, depth {found.depth}'
    if found.broken:
        return f'{searched}, violated: {found.broken}'
    extent = 'all that the budget allows' if found.is_complete else 'bounded'
    return f'{searched}, no violation ({extent})'


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='mustardspur_agreement.checking',
        description='Bounded model check of the replicated log.',
    )
    parser.add_argument(
        '--depth',
        type=int,
        required=True,
        help='largest number of actions',
    )
    parser.add_argument(
        '--setup',
        action='append',
        choices=sorted(SETUPS_BY_NAME),
        help='setup to search; every setup without this option',
    )
    return parser


if __name__ == '__main__':
    sys.exit(main())

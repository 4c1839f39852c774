"""Measures bursts of uploads at a node, with an earlier commit beside it."""

import argparse
import asyncio
import tempfile
from itertools import product
from pathlib import Path
from types import MappingProxyType

from mustardspur_core.record import Record
from rich.console import Console
from rich.table import Table

from benchmarks.mesh.processes import LOCAL_HOST, REMOTE_HOST, running_mesh
from benchmarks.uploads.load import BurstFigures, play_burst
from benchmarks.uploads.sources import (
    REPOSITORY,
    earlier_sources,
    use_sources,
)

# The last commit without an account of bytes over all bodies.
EARLIER = 'cdd8d60'
COUNTS = (6, 10, 40, 200)
SEND_S = (1.0, 4.0)
LINK_MBPS = 1000
_HOSTS = MappingProxyType(
    {'beside the target': LOCAL_HOST, 'another node': REMOTE_HOST},
)
_COLUMNS = (
    'code',
    'path',
    'uploads',
    'sent in s',
    'peak MiB',
    'finished',
    'refused',
    'cut',
    'small p50 ms',
    'p99 ms',
    'failed',
)


class _Case(Record):
    """A burst to measure."""

    __slots__ = ('uploads', 'send_s', 'path', 'code')
    uploads: int
    send_s: float
    path: str
    code: str


def main() -> None:
    """Measure all cases on both sources."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--earlier', default=EARLIER, help='commit')
    parser.add_argument('--counts', type=int, nargs='+', default=COUNTS)
    arguments = parser.parse_args()
    console = Console(width=120)
    table = Table(*_COLUMNS)
    with tempfile.TemporaryDirectory(dir=Path.home()) as folder:
        earlier = earlier_sources(arguments.earlier, Path(folder))
        for fields in product(
            arguments.counts, SEND_S, _HOSTS, ('before', 'now')
        ):
            case = _Case(**dict(zip(_Case.__slots__, fields, strict=True)))
            use_sources(earlier if case.code == 'before' else REPOSITORY)
            figures = asyncio.run(_measure(case))
            console.print(case, figures)
            _add_row(table, case, figures)
    console.print(table)


async def _measure(case: _Case) -> BurstFigures:
    with tempfile.TemporaryDirectory(dir=Path.home()) as folder:
        async with running_mesh(Path(folder), LINK_MBPS) as mesh:
            host = _HOSTS[case.path]
            pid = mesh.node_pids[(LOCAL_HOST, REMOTE_HOST).index(host)]
            address = (host, mesh.ports['http'])
            return await play_burst(address, pid, case.uploads, case.send_s)


def _add_row(table: Table, case: _Case, row: BurstFigures) -> None:
    table.add_row(
        case.code,
        case.path,
        str(case.uploads),
        str(case.send_s),
        'killed' if row.killed else f'{row.peak_mib:.0f}',
        str(row.finished),
        str(row.refused),
        str(row.cut),
        f'{row.small_p50_ms:.1f}',
        f'{row.small_p99_ms:.1f}',
        str(row.small_failed),
    )


if __name__ == '__main__':
    main()

"""Measures the time and processor time that a mesh adds to a call."""

import asyncio
import tempfile
from pathlib import Path

from rich.console import Console
from rich.table import Table

from benchmarks.mesh.calling import Figures, measure
from benchmarks.mesh.processes import running_mesh

CALLS = 1000
RATE_PER_S = 82
CONCURRENCY = 8


async def main() -> None:
    """Measure a direct call, one node and two nodes, one after the other."""
    with tempfile.TemporaryDirectory(dir=Path.home()) as folder:
        async with running_mesh(Path(folder)) as mesh:
            rows = {
                'direct': await measure(mesh.direct(), CALLS, RATE_PER_S),
                'one node': await measure(mesh.beside(), CALLS, RATE_PER_S),
                'two nodes': await measure(mesh.across(), CALLS, RATE_PER_S),
            }
            before = mesh.cpu_s()
            loaded = await measure(mesh.across(), CALLS, 0, CONCURRENCY)
            used_ms = (mesh.cpu_s() - before) / CALLS * 1000
    _show(rows, loaded, used_ms)


def _show(rows: dict[str, Figures], loaded: Figures, used_ms: float) -> None:
    console = Console()
    table = Table('path', 'p50 ms', 'p99 ms', 'failed')
    for name, row in rows.items():
        table.add_row(
            name,
            f'{row.p50_ms:.2f}',
            f'{row.p99_ms:.2f}',
            str(row.failed),
        )
    console.print(table)
    console.print(
        f'two nodes, {CONCURRENCY} at a time: {loaded.per_s:.0f} calls/s, '
        f'{used_ms:.2f} ms of processor time a call in both nodes together',
    )


if __name__ == '__main__':
    asyncio.run(main())

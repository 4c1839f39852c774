"""Measures the latency and processor time that a mesh adds to a call."""

import asyncio
import tempfile
from pathlib import Path

from rich.console import Console
from rich.table import Table

from benchmarks.mesh.calling import LatencyFigures, measure
from benchmarks.mesh.processes import running_mesh

CALLS = 1000
RATE_PER_S = 82
CONCURRENCY = 8


async def main() -> None:
    """Measure direct calls and calls through one and two nodes."""
    with tempfile.TemporaryDirectory(dir=Path.home()) as folder:
        async with running_mesh(Path(folder)) as mesh:
            rows = {
                'direct': await measure(mesh.direct(), CALLS, RATE_PER_S),
                'one node': await measure(
                    mesh.through_one_node(), CALLS, RATE_PER_S
                ),
                'two nodes': await measure(
                    mesh.through_two_nodes(), CALLS, RATE_PER_S
                ),
            }
            cpu_before_s = mesh.cpu_s()
            loaded = await measure(
                mesh.through_two_nodes(), CALLS, 0, CONCURRENCY
            )
            cpu_ms = (mesh.cpu_s() - cpu_before_s) / CALLS * 1000
    _print_figures(rows, loaded, cpu_ms)


def _print_figures(
    rows: dict[str, LatencyFigures], loaded: LatencyFigures, cpu_ms: float
) -> None:
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
        f'two nodes, {CONCURRENCY} at a time: '
        f'{loaded.calls_per_s:.0f} calls/s, '
        f'{cpu_ms:.2f} ms of processor time a call in both nodes together',
    )


if __name__ == '__main__':
    asyncio.run(main())

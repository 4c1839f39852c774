"""Measures the slopes of each role: ``python -m benchmarks.capacity``."""

import asyncio
import json
import tempfile
from pathlib import Path
from typing import Final

from benchmarks.capacity.client_side import measure_client
from benchmarks.capacity.control_side import measure_edits, measure_nodes
from benchmarks.capacity.fitting import Slope
from benchmarks.capacity.node_side import measure_node
from mustardspur_core.conversion import encode_mapping
from rich.console import Console
from rich.table import Table

OUTPUT_COLUMNS: Final = 170
OUTPUT: Final = Path('build/bench/capacity.json')
_MEASUREMENTS: Final = (
    measure_nodes,
    measure_edits,
    measure_node,
    measure_client,
)


async def _measure() -> list[Slope]:
    slopes: list[Slope] = []
    with tempfile.TemporaryDirectory() as folder:
        for place, measurement in enumerate(_MEASUREMENTS):
            slopes.extend(await measurement(Path(folder) / str(place)))
    return slopes


def main() -> None:
    """Measure, print the lines, and write them to a file."""
    slopes = asyncio.run(_measure())
    table = Table('role', 'cost', 'per', 'slope', 'at 0', 'fit', 'points')
    for line in map(_row, slopes):
        table.add_row(*line)
    Console(width=OUTPUT_COLUMNS).print(table)
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    text = json.dumps([encode_mapping(slope) for slope in slopes], indent=2)
    OUTPUT.write_text(f'{text}\n', encoding='utf-8')


def _row(slope: Slope) -> list[str]:
    points = zip(slope.sizes, slope.costs, strict=True)
    return [
        slope.role,
        ', '.join((slope.cost, slope.unit)),
        slope.size,
        _short(slope.slope),
        _short(slope.intercept),
        _short(slope.fit),
        ', '.join(' '.join(map(_short, point)) for point in points),
    ]


def _short(figure: float) -> str:
    return format(figure, '.4g')


if __name__ == '__main__':
    main()

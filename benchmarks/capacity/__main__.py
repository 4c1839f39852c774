"""Measures the costs of each role: ``python -m benchmarks.capacity``."""

import asyncio
import json
import sys
import tempfile
from pathlib import Path
from typing import Final

from mustardspur_core.conversion import encode_mapping

from benchmarks.capacity.client_side import measure_client
from benchmarks.capacity.control_side import measure_edits, measure_nodes
from benchmarks.capacity.fitting import Slope
from benchmarks.capacity.node_side import measure_node
from benchmarks.capacity.page import capacity_tables

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
        for number, measurement in enumerate(_MEASUREMENTS):
            slopes.extend(await measurement(Path(folder) / str(number)))
    return slopes


def main() -> None:
    """Measure the slopes, print the tables and write both to files."""
    slopes = asyncio.run(_measure())
    tables = capacity_tables(slopes)
    sys.stdout.write(tables)
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    text = json.dumps([encode_mapping(slope) for slope in slopes], indent=2)
    OUTPUT.write_text(f'{text}\n', encoding='utf-8')
    OUTPUT.with_suffix('.md').write_text(tables, encoding='utf-8')


if __name__ == '__main__':
    main()

"""Table and JSON file of the benchmark."""

import json
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final

from benchmarks.moves.figures import (
    Ended,
    grouped,
    mean_bytes,
    share,
    spread,
    summary,
)
from benchmarks.moves.strategies import ERRORS_ONLY, FIXED, OURS
from benchmarks.moves.users import CALLS_PER_SERVER_S

OUTPUT: Final = Path('build/bench/moves.json')
LEFT_WIDTH: Final = 42
COLUMNS: Final = (
    ('kind', LEFT_WIDTH),
    ('user', 12),
    ('rate', 5),
    ('moves', 6),
    ('right', 7),
    ('harmed', 9),
    ('p50 s', 6),
    ('p99 s', 6),
    ('bytes', 8),
)
# Columns that say nothing of a good version.
HARM_COLUMNS: Final = 3


def print_report(sessions: list[Ended]) -> None:
    """Print every cell of the table, then the sums."""
    by_group = grouped(sessions, lambda ended: ended.job.group)
    for group, rows in by_group.items():
        _print(f'\n{group}')
        _print(_row(name for name, _ in COLUMNS))
        cells = grouped(rows, _cell_of)
        for cell, cell_rows in cells.items():
            _print(_line(cell, cell_rows))
    for name in (OURS.name, FIXED.name, ERRORS_ONLY.name):
        _print(f'\n{name}')
        _print(json.dumps(summary(by_group[name]), indent=1))


def write_json(sessions: list[Ended], took_s: float) -> None:
    """Write the figures for other programs."""
    by_group = grouped(sessions, lambda ended: ended.job.group)
    figures: dict[str, Any] = summary(by_group[OURS.name])
    figures['baseline'] = summary(by_group[FIXED.name])
    figures['baseline_errors_only'] = summary(by_group[ERRORS_ONLY.name])
    figures['weighing'] = {
        weighing: summary(by_group[weighing])
        for weighing in ('control_bytes', 'convergence_time')
    }
    figures['calls_per_server_s'] = CALLS_PER_SERVER_S
    figures['took_s'] = round(took_s, 1)
    figures['cells'] = list(_cells(by_group[OURS.name]))
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT.write_text(f'{json.dumps(figures, indent=1)}\n')
    _print(f'{OUTPUT}: {len(sessions)} moves in {took_s:.0f} s')


def _cells(sessions: list[Ended]) -> Iterator[dict[str, Any]]:
    for (kind, user, rate), rows in grouped(sessions, _cell_of).items():
        yield {
            'kind': kind,
            'user': user,
            'rate': rate,
            'moves': len(rows),
            'right': share(ended.is_right for ended in rows),
            'control_bytes': mean_bytes(rows),
            **(spread(rows) if rows[0].is_bad else {}),
        }


def _cell_of(ended: Ended) -> tuple[str, str, float]:
    case = ended.job.case
    return case.kind.name, case.user.name, case.rate


def _line(cell: tuple[str, str, float], rows: list[Ended]) -> str:
    right = share(ended.is_right for ended in rows)
    harm = [str(figure) for figure in spread(rows).values()]
    if not rows[0].is_bad:
        harm = ['-' for _ in range(HARM_COLUMNS)]
    return _row([*map(str, (*cell, len(rows), right)), *harm, mean_bytes(rows)])


def _row(cells: Iterable[object]) -> str:
    return ' '.join(
        _left(cell) if width == LEFT_WIDTH else str(cell).rjust(width)
        for cell, (_, width) in zip(cells, COLUMNS, strict=True)
    )


def _left(cell: object) -> str:
    return str(cell).ljust(LEFT_WIDTH)


def _print(line: str) -> None:
    sys.stdout.write(f'{line}\n')

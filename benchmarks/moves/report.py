"""Table and JSON file of the results."""

import json
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final

from benchmarks.moves.figures import (
    SessionResult,
    fault_impact,
    group_by,
    mean_bytes,
    share,
    summary,
)
from benchmarks.moves.strategies import ERRORS_ONLY, FIXED, MIXTURE
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
# Columns that do not apply to a good version.
HARM_COLUMNS: Final = 3


def print_report(sessions: list[SessionResult]) -> None:
    """Print the table of each group, then the summaries."""
    by_group = group_by(sessions, lambda result: result.job.group)
    for group, results in by_group.items():
        _print(f'\n{group}')
        _print(_row(name for name, _ in COLUMNS))
        cells = group_by(results, _cell_of)
        for cell, cell_results in cells.items():
            _print(_line(cell, cell_results))
    for name in (MIXTURE.name, FIXED.name, ERRORS_ONLY.name):
        _print(f'\n{name}')
        _print(json.dumps(summary(by_group[name]), indent=1))


def write_json(sessions: list[SessionResult], duration_s: float) -> None:
    """Write the figures to a JSON file and print its path."""
    by_group = group_by(sessions, lambda result: result.job.group)
    figures: dict[str, Any] = summary(by_group[MIXTURE.name])
    figures['baseline'] = summary(by_group[FIXED.name])
    figures['baseline_errors_only'] = summary(by_group[ERRORS_ONLY.name])
    figures['weighing'] = {
        weighing: summary(by_group[weighing])
        for weighing in ('control_bytes', 'convergence_time')
    }
    figures['calls_per_server_s'] = CALLS_PER_SERVER_S
    figures['took_s'] = round(duration_s, 1)
    figures['cells'] = list(_cells(by_group[MIXTURE.name]))
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT.write_text(f'{json.dumps(figures, indent=1)}\n')
    _print(f'{OUTPUT}: {len(sessions)} moves in {duration_s:.0f} s')


def _cells(sessions: list[SessionResult]) -> Iterator[dict[str, Any]]:
    for (kind, user, rate), results in group_by(sessions, _cell_of).items():
        yield {
            'kind': kind,
            'user': user,
            'rate': rate,
            'moves': len(results),
            'right': share(result.is_correct for result in results),
            'control_bytes': mean_bytes(results),
            **(fault_impact(results) if results[0].is_bad else {}),
        }


def _cell_of(result: SessionResult) -> tuple[str, str, float]:
    case = result.job.case
    return case.kind.name, case.user.name, case.rate


def _line(cell: tuple[str, str, float], results: list[SessionResult]) -> str:
    right = share(result.is_correct for result in results)
    harm = [str(figure) for figure in fault_impact(results).values()]
    if not results[0].is_bad:
        harm = ['-' for _ in range(HARM_COLUMNS)]
    return _row(
        [*map(str, (*cell, len(results), right)), *harm, mean_bytes(results)]
    )


def _row(cells: Iterable[object]) -> str:
    return ' '.join(
        _left_aligned(cell) if width == LEFT_WIDTH else str(cell).rjust(width)
        for cell, (_, width) in zip(cells, COLUMNS, strict=True)
    )


def _left_aligned(cell: object) -> str:
    return str(cell).ljust(LEFT_WIDTH)


def _print(line: str) -> None:
    sys.stdout.write(f'{line}\n')

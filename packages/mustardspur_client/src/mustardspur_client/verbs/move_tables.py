"""Tables of moves."""

import json
from collections.abc import Iterable
from typing import Any, Final

from mustardspur_client.output import Output, detail_line, time_text

PERCENT: Final = 100
_DECISION_COLUMNS: Final = (
    'step',
    'at',
    'decided by',
    'state',
    'share',
    'reason',
    'figures',
)
_COLUMNS: Final = ('move', 'versions', 'state', 'share', 'by', 'reason')


def show_moves(output: Output, moves: Iterable[dict[str, Any]]) -> None:
    """Show one row for each move."""
    rows = [_row(move) for move in moves]
    output.table(_COLUMNS, rows)


def share_text(share: float) -> str:
    """Return a share of the traffic as a percentage."""
    percentage = format(share * PERCENT, '.4g')
    return f'{percentage} %'


def show_move(output: Output, move: dict[str, Any]) -> None:
    """Show a move with its decisions and the nodes that lag behind."""
    show_moves(output, [move])
    output.table(
        _DECISION_COLUMNS,
        [_decision_row(decision) for decision in move['decisions']],
    )
    total = len(move['in_force_on']) + len(move['not_in_force_on'])
    index = move['decided_index']
    count = len(move['in_force_on'])
    output.line(f'index {index} is in force on {count} of {total} nodes')
    for node in move['not_in_force_on']:
        output.line(f'  {detail_line(node)}')
    for name, reported in move['report'].items():
        output.line(f'{name}: {_reported_text(reported)}')


def _reported_text(reported: Any) -> str:
    # Lists, such as the one of all decisions to wait, can be long. Only the
    # JSON output has them in full.
    if isinstance(reported, list) and reported:
        return f'{len(reported)}, the last one {json.dumps(reported[-1])}'
    return json.dumps(reported)


def _decision_row(decision: dict[str, Any]) -> list[object]:
    figures = [
        f'{name} {number}' for name, number in decision['figures'].items()
    ]
    return [
        decision['step'],
        time_text(decision['at_s']),
        decision['by'],
        decision['state'],
        share_text(decision['share']),
        decision['reason'],
        ', '.join(figures),
    ]


def _row(move: dict[str, Any]) -> list[object]:
    versions = (move['from_version'], move['to_version'])
    return [
        move['id'],
        ' -> '.join(versions),
        move['state'],
        share_text(move['share']),
        time_text(move['by_s']),
        move['reason'],
    ]

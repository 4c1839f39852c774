"""Selection of the events of a move or an index."""

from collections.abc import Iterable

from mustardspur_client.timeline.events import Event
from mustardspur_client.timeline.merging import MergedEvent


def select(
    merged: Iterable[MergedEvent],
    move: str | None,
    index: int | None,
) -> list[MergedEvent]:
    """Return the events that belong to a move and to an index.

    Explanation
    ===========

    The events of a move are those that name it and those of each index at
    which a configuration with a changed state of the move was accepted. The
    events of an index include the proposal of its entry.

    Parameters
    ----------
    merged : iterable of MergedEvent
        All events.
    move : str or None
        Identifier of the move, None for any.
    index : int or None
        Index of the log, None for any.
    """
    selected = list(merged)
    if index is not None:
        selected = _of_indexes(selected, {index})
    if move is not None:
        indexes = _indexes_of_move(selected, move)
        of_indexes = _of_indexes(selected, indexes)
        keys = {entry.event.key for entry in of_indexes}
        selected = [
            entry
            for entry in selected
            if entry.event.key in keys
            or entry.event.details.get('move') == move
        ]
    return selected


def _of_indexes(
    merged: list[MergedEvent],
    indexes: set[int],
) -> list[MergedEvent]:
    entries = {
        entry.event.details.get('entry')
        for entry in merged
        if entry.event.name == 'entry_committed'
        and entry.event.details.get('index') in indexes
    }
    return [
        entry
        for entry in merged
        if entry.event.details.get('index') in indexes
        or entry.event.details.get('entry', '') in entries
    ]


def _indexes_of_move(merged: list[MergedEvent], move: str) -> set[int]:
    indexes: set[int] = set()
    state_by_run: dict[str, str] = {}
    for entry in merged:
        state = _state_of_move(entry.event, move)
        run = entry.event.run
        if state and state_by_run.get(run) != state:
            indexes.add(entry.event.details['index'])
        state_by_run[run] = state or state_by_run.get(run, '')
    return indexes


def _state_of_move(event: Event, move: str) -> str:
    if event.name != 'config_accepted':
        return ''
    for state in event.details.get('moves', []):
        if str(state).split(' ', 1)[0] == move:
            return str(state)
    return ''

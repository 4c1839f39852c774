"""Choice of the events of a move or an index."""

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

    To a move belong the events that name it and those of every index at
    which a configuration with a changed state of it was accepted; to an
    index also the proposal of its entry.

    Parameters
    ----------
    merged : iterable of MergedEvent
        All events.
    move : str or None
        Identifier of the move, None for any.
    index : int or None
        The index, None for any.
    """
    chosen = list(merged)
    if index is not None:
        chosen = _of_indexes(chosen, {index})
    if move is not None:
        indexes = _indexes_of_move(chosen, move)
        of_indexes = _of_indexes(chosen, indexes)
        keys = {entry.event.key for entry in of_indexes}
        chosen = [
            entry
            for entry in chosen
            if entry.event.key in keys
            or entry.event.details.get('move') == move
        ]
    return chosen


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
    before: dict[str, str] = {}
    for entry in merged:
        found = _state_of_move(entry.event, move)
        run = entry.event.run
        if found and before.get(run) != found:
            indexes.add(entry.event.details['index'])
        before[run] = found or before.get(run, '')
    return indexes


def _state_of_move(event: Event, move: str) -> str:
    if event.name != 'config_accepted':
        return ''
    for state in event.details.get('moves', []):
        if str(state).split(' ', 1)[0] == move:
            return str(state)
    return ''

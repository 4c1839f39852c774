"""Registry of what each type of entry does to the applied state."""

from collections.abc import Callable, Sequence
from typing import Any, TypeVar

from mustardspur_core.edits import EditAnswer
from mustardspur_core.record import Record

from mustardspur_control.store.records import StoreState


class Effect(Record):
    """Answer to an entry and the services whose configuration changed."""

    __slots__ = ('answer', 'services')
    answer: EditAnswer
    services: list[str]


_EntryT = TypeVar('_EntryT', bound=Record)
_Handler = Callable[[StoreState, int, Any], Effect]
_handlers_by_type: dict[type[Record], _Handler] = {}


def applies(
    entry_type: type[_EntryT],
) -> Callable[
    [Callable[[StoreState, int, _EntryT], Effect]],
    Callable[[StoreState, int, _EntryT], Effect],
]:
    """Register the function that applies a type of entry.

    Explanation
    ===========

    The function gets the state, the log index and the entry. It decides
    completely before it changes anything, so that an entry takes effect as
    a whole or not at all.
    """

    def decorator(
        handler: Callable[[StoreState, int, _EntryT], Effect],
    ) -> Callable[[StoreState, int, _EntryT], Effect]:
        _handlers_by_type[entry_type] = handler
        return handler

    return decorator


def handler_of(entry: Record) -> _Handler | None:
    """Return the function that applies an entry, None for other records."""
    return _handlers_by_type.get(type(entry))


def effect(answer: EditAnswer, services: Sequence[str] = ()) -> Effect:
    """Return an effect, on no service if none is given."""
    return Effect(answer=answer, services=list(services))

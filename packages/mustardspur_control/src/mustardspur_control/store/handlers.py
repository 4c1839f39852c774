"""Registry of the handlers that apply each type of entry."""

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


def entry_handler(
    entry_type: type[_EntryT],
) -> Callable[
    [Callable[[StoreState, int, _EntryT], Effect]],
    Callable[[StoreState, int, _EntryT], Effect],
]:
    """Return a decorator that registers a handler for a type of entry.

    Explanation
    ===========

    The handler receives the state, the log index and the entry. It must
    complete all checks before it modifies the state, so that an entry
    takes effect as a whole or not at all.
    """

    def decorator(
        handler: Callable[[StoreState, int, _EntryT], Effect],
    ) -> Callable[[StoreState, int, _EntryT], Effect]:
        _handlers_by_type[entry_type] = handler
        return handler

    return decorator


def handler_of(entry: Record) -> _Handler | None:
    """Return the handler of an entry, None if its type has none."""
    return _handlers_by_type.get(type(entry))


def effect(answer: EditAnswer, services: Sequence[str] = ()) -> Effect:
    """Return an effect; by default it changes no service."""
    return Effect(answer=answer, services=list(services))

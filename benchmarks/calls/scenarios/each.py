"""Sequential measurement of several cases."""

from collections.abc import Awaitable, Callable, Iterable
from typing import Any, TypeVar

_KeyT = TypeVar('_KeyT')


async def measure_each(
    keys: Iterable[_KeyT],
    measure: Callable[[_KeyT], Awaitable[Any]],
) -> dict[_KeyT, Any]:
    """Measure the cases one after another and return the figures by key."""
    figures: dict[_KeyT, Any] = {}
    waiting = list(keys)
    while waiting:
        key = waiting.pop(0)
        figures[key] = await measure(key)
    return figures

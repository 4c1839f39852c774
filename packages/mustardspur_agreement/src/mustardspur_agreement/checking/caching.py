"""Caches of functions over parts of states."""

from collections.abc import Callable
from functools import lru_cache
from typing import Any, Final, TypeVar, cast

_CallableT = TypeVar('_CallableT', bound=Callable[..., Any])
_CACHE_ENTRIES: Final = 300_000
_caches: list[Any] = []


def step(function: _CallableT) -> _CallableT:
    """Keep the results of a function without side effects."""
    cached = lru_cache(maxsize=_CACHE_ENTRIES)(function)
    _caches.append(cached)
    return cast(_CallableT, cached)


def clear_steps() -> None:
    """Forget all results, since the rules may have been replaced."""
    for cached in _caches:
        cached.cache_clear()

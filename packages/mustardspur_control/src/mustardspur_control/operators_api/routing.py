"""Registry of the routes of the operators' interface."""

from collections.abc import Awaitable, Callable
from typing import Final

from aiohttp import web

from mustardspur_control.operators_api.ports import OperatorsContext

CONTEXT: Final = web.AppKey('context', OperatorsContext)
Operation = Callable[[web.Request], Awaitable[web.StreamResponse]]

_operations: list[web.RouteDef] = []


def operation(method: str, path: str) -> Callable[[Operation], Operation]:
    """Return a decorator that registers a handler of a method and path."""

    def decorator(handler: Operation) -> Operation:
        _operations.append(web.route(method, path, handler))
        return handler

    return decorator


def operations() -> list[web.RouteDef]:
    """Return the routes of all registered operations."""
    return list(_operations)

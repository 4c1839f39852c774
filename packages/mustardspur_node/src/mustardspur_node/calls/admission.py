"""Admission of calls: route, load and deadline, before any other work."""

from http import HTTPStatus
from typing import Final

from aiohttp import web

from mustardspur_node.calls import names
from mustardspur_node.calls.answers import not_run
from mustardspur_node.calls.calls import Call, call_deadline
from mustardspur_node.calls.routing import CompiledRoute
from mustardspur_node.calls.services import ServiceDirectory

# Calls in a node at a time. Beyond it, a call is refused before any work.
MAX_CALLS: Final = 600
# Calls that are not of the first priority leave the rest free.
MAX_CALLS_BEHIND: Final = 480


def route_call(
    request: web.BaseRequest,
    directory: ServiceDirectory,
    now: float,
) -> Call:
    """Return a call with its route and deadline.

    Raises
    ------
    CallFault
        If the node has no route for it or its deadline has passed.
    """
    service = directory.find(request.headers.get(names.SERVICE))
    table = service.table() if service else None
    if service is None or table is None:
        raise not_run(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'no configuration for the service is in force',
        )
    route = table.match(request)
    if route is None:
        raise not_run(HTTPStatus.NOT_FOUND, 'no route fits the call')
    deadline_at = call_deadline(request, route, now)
    if deadline_at <= now:
        raise not_run(HTTPStatus.GATEWAY_TIMEOUT, 'deadline has passed')
    return Call(request, service, route, deadline_at)


def check_load(route: CompiledRoute, in_flight: int) -> None:
    """Shed a call where the node has too many.

    Raises
    ------
    CallFault
        If the call is shed; it was not run.
    """
    behind = route.call_class.leaves_reserve
    limit = MAX_CALLS_BEHIND if behind else MAX_CALLS
    if in_flight > limit:
        raise not_run(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'node has too many calls in flight',
        )

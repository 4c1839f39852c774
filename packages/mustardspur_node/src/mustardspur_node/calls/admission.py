"""Admission of calls by route, deadline and load of the node."""

from http import HTTPStatus
from typing import Final

from aiohttp import web

from mustardspur_node.calls import names
from mustardspur_node.calls.calls import Call, call_deadline
from mustardspur_node.calls.error_responses import not_run
from mustardspur_node.calls.routing import CompiledRoute
from mustardspur_node.calls.services import ServiceDirectory

# Calls in flight in a node; further ones are refused before any other work.
MAX_CALLS: Final = 600
# Limit for calls below the first priority; the difference is reserved for
# the first priority.
MAX_LOWER_PRIORITY_CALLS: Final = 480


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
    """Check the number of calls in flight against the limit of the class.

    Raises
    ------
    CallFault
        If the node has too many calls in flight; the call was not run.
    """
    lower_priority = route.call_class.leaves_reserve
    limit = MAX_LOWER_PRIORITY_CALLS if lower_priority else MAX_CALLS
    if in_flight > limit:
        raise not_run(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'node has too many calls in flight',
        )

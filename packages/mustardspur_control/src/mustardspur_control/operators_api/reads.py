"""Handlers that read."""

from functools import wraps
from http import HTTPStatus

from aiohttp import hdrs, web
from mustardspur_core.conversion import encode_mapping
from mustardspur_core.findings import Finding

from mustardspur_control.operators_api.marks import read_mark
from mustardspur_control.operators_api.responses import (
    findings_response,
    marked,
    not_leader,
    unavailable_response,
)
from mustardspur_control.operators_api.routing import (
    CONTEXT,
    Operation,
    operation,
)
from mustardspur_control.operators_api.views import (
    move_summary,
    move_view,
    profile_summary,
    profile_view,
    service_view,
    status_view,
)


def _answered_by_leader(read: Operation) -> Operation:
    """Let only the leader answer, where the reports of all nodes are.

    Without a known leader an instance answers from the reports that it has.
    """

    @wraps(read)
    async def decorator(request: web.Request) -> web.StreamResponse:
        context = request.app[CONTEXT]
        if context.log.is_leader or context.log.leader is None:
            return await read(request)
        return unavailable_response(context, not_leader(context))

    return decorator


@operation(hdrs.METH_GET, '/v1/profiles')
async def list_profiles(request: web.Request) -> web.StreamResponse:
    """List the profiles with their numbers."""
    context = request.app[CONTEXT]
    mark = await read_mark(context)
    rows = [profile_summary(context, name) for name in context.store.profiles]
    return marked({'profiles': rows}, mark)


@operation(hdrs.METH_GET, '/v1/profiles/{name}')
async def get_profile(request: web.Request) -> web.StreamResponse:
    """Return a profile with its number."""
    context = request.app[CONTEXT]
    mark = await read_mark(context)
    name = request.match_info['name']
    if name not in context.store.profiles:
        return _unknown('$.name', 'a known profile', name)
    return marked(profile_view(context, name), mark)


@operation(hdrs.METH_GET, '/v1/services')
@_answered_by_leader
async def list_services(request: web.Request) -> web.StreamResponse:
    """List the services with what they follow."""
    context = request.app[CONTEXT]
    mark = await read_mark(context)
    views = [service_view(context, name) for name in context.store.services()]
    return marked({'services': views}, mark)


@operation(hdrs.METH_GET, '/v1/services/{service}')
@_answered_by_leader
async def get_service(request: web.Request) -> web.StreamResponse:
    """Return what is accepted for a service and in force on its nodes."""
    context = request.app[CONTEXT]
    mark = await read_mark(context)
    service = request.match_info['service']
    if service not in context.store.services():
        return _unknown('$.service', 'a service with a profile', service)
    return marked(service_view(context, service), mark)


@operation(hdrs.METH_GET, '/v1/moves')
async def list_moves(request: web.Request) -> web.StreamResponse:
    """List the moves, newest last."""
    context = request.app[CONTEXT]
    mark = await read_mark(context)
    records = context.store.moves.values()
    return marked({'moves': [move_summary(record) for record in records]}, mark)


@operation(hdrs.METH_GET, '/v1/moves/{id}')
@_answered_by_leader
async def get_move(request: web.Request) -> web.StreamResponse:
    """Return a move with its decisions and where it is in force."""
    context = request.app[CONTEXT]
    mark = await read_mark(context)
    name = request.match_info['id']
    record = context.store.moves.get(name)
    if record is None:
        return _unknown('$.id', 'a known move', name)
    return marked(move_view(context, record), mark)


@operation(hdrs.METH_GET, '/v1/targets')
async def list_targets(request: web.Request) -> web.StreamResponse:
    """List the targets that this instance knows, whatever the quorum."""
    targets = request.app[CONTEXT].targets.targets()
    return web.json_response(
        {'targets': [encode_mapping(target) for target in targets]},
    )


@operation(hdrs.METH_GET, '/v1/status')
async def get_status(request: web.Request) -> web.StreamResponse:
    """Return the state of this instance, whatever the quorum."""
    return web.json_response(status_view(request.app[CONTEXT]))


def _unknown(path: str, expected: str, found: str) -> web.Response:
    finding = Finding(
        source='request',
        path=path,
        expected=expected,
        found=found,
    )
    return findings_response([finding], HTTPStatus.NOT_FOUND)

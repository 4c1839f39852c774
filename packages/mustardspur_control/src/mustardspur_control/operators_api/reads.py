"""Handlers of read requests."""

from functools import wraps
from http import HTTPStatus

from aiohttp import hdrs, web
from mustardspur_core.conversion import encode_mapping
from mustardspur_core.findings import Finding

from mustardspur_control.operators_api.responses import (
    findings_response,
    not_leader,
    read_response,
    unavailable_response,
)
from mustardspur_control.operators_api.routing import (
    CONTEXT,
    Operation,
    operation,
)
from mustardspur_control.operators_api.staleness import read_staleness
from mustardspur_control.operators_api.views import (
    move_summary,
    move_view,
    profile_summary,
    profile_view,
    service_view,
    status_view,
)


def _leader_only(read: Operation) -> Operation:
    """Refuse a read on a follower, which lacks the reports of all nodes.

    If no leader is known, the instance answers from its own reports.
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
    """Return the summaries of all profiles."""
    context = request.app[CONTEXT]
    staleness = await read_staleness(context)
    summaries = [
        profile_summary(context, name) for name in context.store.profiles
    ]
    return read_response({'profiles': summaries}, staleness)


@operation(hdrs.METH_GET, '/v1/profiles/{name}')
async def get_profile(request: web.Request) -> web.StreamResponse:
    """Return a profile with its number and latest edits."""
    context = request.app[CONTEXT]
    staleness = await read_staleness(context)
    name = request.match_info['name']
    if name not in context.store.profiles:
        return _unknown('$.name', 'a known profile', name)
    return read_response(profile_view(context, name), staleness)


@operation(hdrs.METH_GET, '/v1/services')
@_leader_only
async def list_services(request: web.Request) -> web.StreamResponse:
    """Return the views of all services."""
    context = request.app[CONTEXT]
    staleness = await read_staleness(context)
    views = [service_view(context, name) for name in context.store.services()]
    return read_response({'services': views}, staleness)


@operation(hdrs.METH_GET, '/v1/services/{service}')
@_leader_only
async def get_service(request: web.Request) -> web.StreamResponse:
    """Return a service's accepted configuration and its nodes' indexes."""
    context = request.app[CONTEXT]
    staleness = await read_staleness(context)
    service = request.match_info['service']
    if service not in context.store.services():
        return _unknown('$.service', 'a service with a profile', service)
    return read_response(service_view(context, service), staleness)


@operation(hdrs.METH_GET, '/v1/moves')
async def list_moves(request: web.Request) -> web.StreamResponse:
    """Return the summaries of all moves, newest last."""
    context = request.app[CONTEXT]
    staleness = await read_staleness(context)
    records = context.store.moves.values()
    return read_response(
        {'moves': [move_summary(record) for record in records]}, staleness
    )


@operation(hdrs.METH_GET, '/v1/moves/{id}')
@_leader_only
async def get_move(request: web.Request) -> web.StreamResponse:
    """Return a move with its decisions and the nodes it is in force on."""
    context = request.app[CONTEXT]
    staleness = await read_staleness(context)
    name = request.match_info['id']
    record = context.store.moves.get(name)
    if record is None:
        return _unknown('$.id', 'a known move', name)
    return read_response(move_view(context, record), staleness)


@operation(hdrs.METH_GET, '/v1/targets')
async def list_targets(request: web.Request) -> web.StreamResponse:
    """Return the targets that this instance knows, without a quorum."""
    targets = request.app[CONTEXT].targets.targets()
    return web.json_response(
        {'targets': [encode_mapping(target) for target in targets]},
    )


@operation(hdrs.METH_GET, '/v1/status')
async def get_status(request: web.Request) -> web.StreamResponse:
    """Return the state of this instance, without a quorum."""
    return web.json_response(status_view(request.app[CONTEXT]))


def _unknown(path: str, expected: str, found: str) -> web.Response:
    finding = Finding(
        source='request',
        path=path,
        expected=expected,
        found=found,
    )
    return findings_response([finding], HTTPStatus.NOT_FOUND)

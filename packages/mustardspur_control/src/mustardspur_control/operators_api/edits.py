"""Handlers of requests that edit profiles, services and moves."""

from typing import Any

from aiohttp import web
from expression import Result
from mustardspur_core.edits import FollowProfile, OrderMove, PutProfile
from mustardspur_core.findings import Finding, Findings
from mustardspur_core.profile import Profile, parse_profile

from mustardspur_control.operators_api.bodies import (
    load_body_schema,
    read_body,
)
from mustardspur_control.operators_api.responses import findings_response
from mustardspur_control.operators_api.routing import CONTEXT, operation
from mustardspur_control.operators_api.submitting import submit

_PUT_PROFILE = load_body_schema('put_profile.schema.json')
_FOLLOW_PROFILE = load_body_schema('follow_profile.schema.json')
_ORDER_MOVE = load_body_schema('order_move.schema.json')


@operation('PUT', '/v1/profiles/{name}')
async def put_profile(request: web.Request) -> web.StreamResponse:
    """Replace or create a profile."""
    read = await read_body(request, _PUT_PROFILE)
    if read.is_error():
        return findings_response(read.error.entries)
    parsed = _parse_named_profile(
        read.ok['profile'], request.match_info['name']
    )
    if parsed.is_error():
        return findings_response(parsed.error.entries)
    context = request.app[CONTEXT]
    edit = PutProfile(
        **_identity(read.ok),
        expected_number=read.ok['expected_number'],
        profile=parsed.ok,
        at_s=context.clock(),
    )
    return await submit(context, edit)


@operation('PUT', '/v1/services/{service}')
async def follow_profile(request: web.Request) -> web.StreamResponse:
    """Set the profile that a service follows."""
    read = await read_body(request, _FOLLOW_PROFILE)
    if read.is_error():
        return findings_response(read.error.entries)
    context = request.app[CONTEXT]
    edit = FollowProfile(
        **_identity(read.ok),
        service=request.match_info['service'],
        profile=read.ok['profile'],
        at_s=context.clock(),
    )
    return await submit(context, edit)


@operation('POST', '/v1/moves/{id}/orders')
async def order_move(request: web.Request) -> web.StreamResponse:
    """Pause, resume, take back or force a move."""
    read = await read_body(request, _ORDER_MOVE)
    if read.is_error():
        return findings_response(read.error.entries)
    context = request.app[CONTEXT]
    edit = OrderMove(
        **_identity(read.ok),
        move=request.match_info['id'],
        order=read.ok['order'],
        at_s=context.clock(),
    )
    return await submit(context, edit)


def _parse_named_profile(document: Any, name: str) -> Result[Profile, Findings]:
    # Time 0 accepts any deadline. A passed deadline is checked on submission,
    # where the stored answer of a resend can be looked up first.
    parsed = parse_profile(document, 'profile', now_s=0)
    return parsed.filter_with(
        lambda profile: profile.name == name,
        lambda profile: _name_mismatch(profile, name),
    )


def _name_mismatch(profile: Profile, name: str) -> Findings:
    finding = Finding(
        source='profile',
        path='$.name',
        expected=f'the name in the path, {name}',
        found=profile.name,
    )
    return Findings(entries=[finding])


def _identity(body: dict[str, Any]) -> dict[str, Any]:
    return {'edit_id': body['edit_id'], 'operator': body['operator']}

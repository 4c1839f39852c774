"""Handlers that show and change the voters of the replicated log."""

from typing import Any

from aiohttp import web
from expression import Result
from mustardspur_agreement.ports import Committed, ProposalError
from mustardspur_core.settings import Peer

from mustardspur_control.operators_api.bodies import (
    load_body_schema,
    read_body,
)
from mustardspur_control.operators_api.ports import OperatorsContext
from mustardspur_control.operators_api.responses import (
    findings_response,
    unavailable_response,
)
from mustardspur_control.operators_api.routing import CONTEXT, operation

_ADD_VOTER = load_body_schema('add_voter.schema.json')


@operation('GET', '/v1/voters')
async def list_voters(request: web.Request) -> web.StreamResponse:
    """Return the voters as this instance knows them."""
    membership = request.app[CONTEXT].membership
    return web.json_response(
        {'voters': membership.voters, 'is_trusted': membership.is_trusted},
    )


@operation('PUT', '/v1/voters/{id}')
async def add_voter(request: web.Request) -> web.StreamResponse:
    """Add a voter once it has caught up with the log."""
    read = await read_body(request, _ADD_VOTER)
    if read.is_error():
        return findings_response(read.error.entries)
    context = request.app[CONTEXT]
    peer = Peer(id=request.match_info['id'], voter=True, **read.ok)
    return _membership_response(
        context, await context.membership.add_voter(peer)
    )


@operation('DELETE', '/v1/voters/{id}')
async def remove_voter(request: web.Request) -> web.StreamResponse:
    """Remove a voter that is permanently lost or being relocated."""
    context = request.app[CONTEXT]
    name = request.match_info['id']
    return _membership_response(
        context, await context.membership.remove_voter(name)
    )


def _membership_response(
    context: OperatorsContext,
    outcome: Result[Committed, ProposalError],
) -> web.Response:
    if outcome.is_error():
        return unavailable_response(context, outcome.error)
    body: dict[str, Any] = {
        'index': outcome.ok.index,
        'voters': context.membership.voters,
    }
    return web.json_response(body)

"""HTTP interface for the evacuation of data centres."""

from http import HTTPStatus
from typing import Any, Final

from aiohttp import web
from expression import Result
from mustardspur_core.conversion import encode_mapping
from mustardspur_core.findings import Finding

from mustardspur_control.mesh.evacuations import (
    UNKNOWN,
    EvacuationOperations,
    EvacuationOutcome,
)
from mustardspur_control.mesh.http_errors import (
    findings_response,
    unavailable_response,
)
from mustardspur_control.mesh.log_access import OperationError
from mustardspur_control.mesh.store import CONFLICT

EVACUATIONS_PATH: Final = '/v1/evacuations'
_ORDER_PATH: Final = f'{EVACUATIONS_PATH}/{{data_centre}}'


class EvacuationsApi:
    """Handlers of orders to evacuate and to readmit data centres.

    Parameters
    ----------
    operations : EvacuationOperations
        Operations that the handlers call.
    """

    __slots__ = ('_operations',)

    def __init__(self, operations: EvacuationOperations) -> None:
        """Initialise the handlers."""
        self._operations = operations

    def add_to(self, app: web.Application) -> None:
        """Add the handlers to an application by method and path."""
        app.router.add_put(_ORDER_PATH, self.evacuate)
        app.router.add_delete(_ORDER_PATH, self.readmit)
        app.router.add_get(EVACUATIONS_PATH, self.list_evacuations)

    async def evacuate(self, request: web.Request) -> web.Response:
        """Evacuate the data centre of the path; a body is not read."""
        data_centre = request.match_info['data_centre']
        return _response(await self._operations.evacuate(data_centre))

    async def readmit(self, request: web.Request) -> web.Response:
        """Readmit the data centre of the path; a body is not read."""
        data_centre = request.match_info['data_centre']
        return _response(await self._operations.readmit(data_centre))

    async def list_evacuations(self, _: web.Request) -> web.Response:
        """Return the evacuated data centres and those that are left."""
        outcome = await self._operations.read()
        if outcome.is_error():
            return unavailable_response(outcome.error)
        return web.json_response(encode_mapping(outcome.ok))


def _response(
    outcome: Result[EvacuationOutcome, OperationError],
) -> web.Response:
    if outcome.is_error():
        return unavailable_response(outcome.error)
    ordered = outcome.ok
    if ordered.status == UNKNOWN:
        return findings_response([_unknown(ordered)], HTTPStatus.NOT_FOUND)
    body: dict[str, Any] = encode_mapping(ordered.state)
    if ordered.status == CONFLICT:
        body['reason'] = conflict_reason(ordered)
        return web.json_response(body, status=HTTPStatus.CONFLICT)
    return web.json_response(body)


def conflict_reason(outcome: EvacuationOutcome) -> str:
    """Return why an evacuation is refused, in words for the operator."""
    left = ', '.join(outcome.state.left) or 'none'
    evacuated = ', '.join(outcome.state.evacuated) or 'none'
    return (
        f'data centres left without {outcome.data_centre}: {left}; '
        f'evacuated: {evacuated}'
    )


def _unknown(outcome: EvacuationOutcome) -> Finding:
    known = ', '.join(
        sorted([*outcome.state.left, *outcome.state.evacuated]),
    )
    return Finding(
        source='request',
        path='data centre',
        expected=f'one of {known}',
        found=outcome.data_centre,
    )

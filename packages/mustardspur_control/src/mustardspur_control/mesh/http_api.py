"""HTTP interface of mustardspur for operators of a mesh."""

from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Final

from aiohttp import web
from expression import Error, Ok, Result
from mustardspur_core.conversion import decode_mapping, encode_mapping
from mustardspur_core.durations import parse_ms
from mustardspur_core.findings import Finding
from mustardspur_core.http_answers import respond_in_parts
from mustardspur_core.http_bodies import (
    SMALL_BODY_BYTES,
    LargeBodies,
    read_body,
)
from mustardspur_core.large_documents import run_large
from mustardspur_core.mesh import RoutingTable
from mustardspur_core.strict_json import parse_json

from mustardspur_control.mesh.evacuations import EvacuationOperations
from mustardspur_control.mesh.evacuations_api import EvacuationsApi
from mustardspur_control.mesh.http_errors import (
    findings_response,
    unavailable_response,
)
from mustardspur_control.mesh.operations import MeshOperations, PublishOutcome
from mustardspur_control.mesh.store import ACCEPTED, CONFLICT, INVALID

TABLE_PATH: Final = '/v1/table'
TRANSFERS_PATH: Final = '/v1/transfers'

_STATUS_BY_OUTCOME: Final = MappingProxyType(
    {
        ACCEPTED: HTTPStatus.OK,
        CONFLICT: HTTPStatus.CONFLICT,
        INVALID: HTTPStatus.UNPROCESSABLE_ENTITY,
    },
)


class MeshApi:
    """Handlers of the HTTP interface for operators.

    Parameters
    ----------
    operations : MeshOperations
        Operations that the handlers call.
    evacuations : EvacuationOperations
        Operations of the handlers for evacuations.
    bodies : LargeBodies, optional
        Room for tables.
    """

    __slots__ = ('_bodies', '_evacuations', '_operations')

    def __init__(
        self,
        operations: MeshOperations,
        evacuations: EvacuationOperations,
        bodies: LargeBodies | None = None,
    ) -> None:
        """Initialise the handlers."""
        self._bodies = bodies or LargeBodies()
        self._operations = operations
        self._evacuations = EvacuationsApi(evacuations)

    def app(self) -> web.Application:
        """Return the application with the handlers by method and path."""
        app = web.Application()
        app.router.add_put(TABLE_PATH, self.put_table)
        app.router.add_get(TABLE_PATH, self.get_table)
        app.router.add_post(TRANSFERS_PATH, self.start_transfer)
        app.router.add_get(f'{TRANSFERS_PATH}/{{service}}', self.get_transfer)
        self._evacuations.add_to(app)
        return app

    async def put_table(self, request: web.Request) -> web.Response:
        """Replace the table; the body has ``base`` and ``table``."""
        async with self._bodies.reading(request) as document:
            return await self._publish(document)

    async def get_table(self, request: web.Request) -> web.StreamResponse:
        """Return the document of the table in force as it was sent."""
        outcome = await self._operations.read()
        if outcome.is_error():
            return unavailable_response(outcome.error)
        if outcome.ok is None:
            return findings_response([], HTTPStatus.NOT_FOUND)
        return await respond_in_parts(
            request,
            outcome.ok.document,
            'application/json',
        )

    async def start_transfer(self, request: web.Request) -> web.Response:
        """Start a transfer.

        The body has ``service``, ``version`` and ``within``, the duration as
        a text with its unit.
        """
        parsed = parse_json(
            await read_body(request, SMALL_BODY_BYTES),
            'request',
        )
        if parsed.is_error():
            return findings_response(parsed.error.entries)
        try:
            service, version, within_ms = _order(parsed.ok)
        except (KeyError, TypeError, ValueError) as error:
            return findings_response([_finding(error)])
        outcome = await self._operations.start_transfer(
            service,
            version,
            within_ms,
        )
        if outcome.is_error():
            return unavailable_response(outcome.error)
        status = _STATUS_BY_OUTCOME[outcome.ok]
        return web.json_response({'outcome': outcome.ok}, status=status)

    async def get_transfer(self, request: web.Request) -> web.Response:
        """Return the latest transfer of a service."""
        service = request.match_info['service']
        outcome = await self._operations.read_transfer(service)
        if outcome.is_error():
            return unavailable_response(outcome.error)
        if outcome.ok is None:
            return findings_response([], HTTPStatus.NOT_FOUND)
        return web.json_response(encode_mapping(outcome.ok))

    async def _publish(self, document: bytes) -> web.Response:
        decoded = await run_large(len(document), _table, document)
        if decoded.is_error():
            return findings_response([decoded.error])
        base, table = decoded.ok
        outcome = await self._operations.publish(table, base, document)
        if outcome.is_error():
            return unavailable_response(outcome.error)
        return _published(outcome.ok)


def _table(document: bytes) -> Result[tuple[int, RoutingTable], Finding]:
    parsed = parse_json(document, 'request')
    if parsed.is_error():
        return Error(parsed.error.entries[0])
    try:
        body: Any = parsed.ok
        return Ok(
            (int(body['base']), decode_mapping(RoutingTable, body['table'])),
        )
    except (KeyError, TypeError, ValueError) as error:
        return Error(_finding(error))


def _order(body: Any) -> tuple[str, str, float]:
    service, version = body['service'], body['version']
    if not isinstance(service, str) or not isinstance(version, str):
        raise TypeError('service and version must be strings')
    return service, version, parse_ms(body['within'])


def _finding(error: Exception) -> Finding:
    return Finding(
        source='request',
        path='$',
        expected='the fields of docs/platform.md',
        found=str(error),
    )


def _published(outcome: PublishOutcome) -> web.Response:
    return web.json_response(
        {
            'number': outcome.number,
            'current_number': outcome.number,
            'findings': [encode_mapping(each) for each in outcome.findings],
        },
        status=_STATUS_BY_OUTCOME[outcome.status],
    )

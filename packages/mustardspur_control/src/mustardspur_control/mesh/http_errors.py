"""Answers of the HTTP interface for operators to failed requests."""

from http import HTTPStatus

from aiohttp import web
from mustardspur_core.conversion import encode_mapping
from mustardspur_core.findings import Finding

from mustardspur_control.mesh.log_access import OperationError


def findings_response(
    findings: list[Finding],
    status: HTTPStatus = HTTPStatus.UNPROCESSABLE_ENTITY,
) -> web.Response:
    """Return the answer that lists what was found wrong."""
    return web.json_response(
        {'findings': [encode_mapping(finding) for finding in findings]},
        status=status,
    )


def unavailable_response(error: OperationError) -> web.Response:
    """Return the answer of an instance that cannot determine the result."""
    return web.json_response(
        {
            'kind': 'not_leader' if error.leader_http else 'no_quorum',
            'reason': error.reason,
            'leader': error.leader_http,
        },
        status=HTTPStatus.SERVICE_UNAVAILABLE,
    )

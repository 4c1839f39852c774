"""HTTP interface for readiness and target reports of a mesh node."""

import logging
from http import HTTPStatus
from typing import Final

from aiohttp import web
from mustardspur_core.conversion import decode_mapping
from mustardspur_core.http_bodies import SMALL_BODY_BYTES, read_body
from mustardspur_core.readers import DecodeError
from mustardspur_core.strict_json import parse_json

from mustardspur_node.mesh.instance import MeshNode
from mustardspur_node.mesh.reports import TargetReport, find_report_fault
from mustardspur_node.paths import ANNOUNCEMENTS_PATH, READY_PATH

_LOG: Final = logging.getLogger(__name__)

# A report has less than 1 KiB.
MAX_REPORT_BYTES: Final = SMALL_BODY_BYTES


class NodeApi:
    """Serves readiness checks and the reports of the target.

    Parameters
    ----------
    node : MeshNode
        The node.
    """

    __slots__ = ('node',)

    def __init__(self, node: MeshNode) -> None:
        """Initialise the interface of a node."""
        self.node = node

    def ready_app(self) -> web.Application:
        """Return the application for readiness checks."""
        app = web.Application()
        app.router.add_get(READY_PATH, self.get_ready)
        return app

    def targets_app(self) -> web.Application:
        """Return the application for target reports and removals."""
        app = web.Application()
        app.router.add_post(ANNOUNCEMENTS_PATH, self.accept_report)
        app.router.add_delete(f'{ANNOUNCEMENTS_PATH}/{{target}}', self.remove)
        return app

    async def get_ready(self, _: web.Request) -> web.Response:
        """Answer 200 while the node accepts callers, otherwise 503."""
        ready = self.node.ready
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        return web.json_response({'ready': ready}, status=status)

    async def accept_report(self, request: web.Request) -> web.Response:
        """Accept a report with the fields of `TargetReport`."""
        parsed = parse_json(
            await read_body(request, MAX_REPORT_BYTES), 'report'
        )
        if parsed.is_error():
            return _rejection(str(parsed.error))
        try:
            report = decode_mapping(TargetReport, parsed.ok)
        except DecodeError as error:
            return _rejection(str(error))
        fault = find_report_fault(report)
        if fault:
            return _rejection(fault)
        foreign = self.node.accept_report(report)
        if foreign:
            return _rejection(foreign)
        return web.json_response({})

    async def remove(self, request: web.Request) -> web.Response:
        """Remove a target that shuts down."""
        self.node.remove_target(request.match_info['target'])
        return web.json_response({})


def _rejection(reason: str) -> web.Response:
    _LOG.warning('report rejected', extra={'reason': reason})
    return web.json_response(
        {'reason': reason},
        status=HTTPStatus.UNPROCESSABLE_ENTITY,
    )

"""mustardspur's own HTTP interface beside the calls of a mesh's node."""

import logging
from http import HTTPStatus
from typing import Final

from aiohttp import web
from mustardspur_core.conversion import decode_mapping
from mustardspur_core.readers import DecodeError
from mustardspur_core.strict_json import parse_json

from mustardspur_node.announcements import ANNOUNCEMENTS_PATH
from mustardspur_node.calls.serving import READY_PATH
from mustardspur_node.mesh.instance import MeshNode
from mustardspur_node.mesh.reports import TargetReport

_LOG: Final = logging.getLogger(__name__)


class NodeApi:
    """Answers whether the node is ready, and the target beside it.

    Parameters
    ----------
    node : MeshNode
        The node.
    """

    __slots__ = ('node',)

    def __init__(self, node: MeshNode) -> None:
        """Keep the node."""
        self.node = node

    def ready_app(self) -> web.Application:
        """Return the answer to whether callers may be sent here."""
        app = web.Application()
        app.router.add_get(READY_PATH, self.get_ready)
        return app

    def targets_app(self) -> web.Application:
        """Return the answers to the target."""
        app = web.Application()
        app.router.add_post(ANNOUNCEMENTS_PATH, self.take_report)
        app.router.add_delete(f'{ANNOUNCEMENTS_PATH}/{{target}}', self.drop)
        return app

    async def get_ready(self, _: web.Request) -> web.Response:
        """Answer 200 while the node takes callers."""
        ready = self.node.ready
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        return web.json_response({'ready': ready}, status=status)

    async def take_report(self, request: web.Request) -> web.Response:
        """Take a report with the fields of `TargetReport`."""
        parsed = parse_json(await request.read(), 'report')
        if parsed.is_error():
            return _refused(str(parsed.error))
        try:
            report = decode_mapping(TargetReport, parsed.ok)
        except DecodeError as error:
            return _refused(str(error))
        self.node.take_report(report)
        return web.json_response({})

    async def drop(self, request: web.Request) -> web.Response:
        """Let a target go that leaves."""
        self.node.drop_target(request.match_info['target'])
        return web.json_response({})


def _refused(reason: str) -> web.Response:
    _LOG.warning('report refused', extra={'reason': reason})
    return web.json_response(
        {'reason': reason},
        status=HTTPStatus.UNPROCESSABLE_ENTITY,
    )

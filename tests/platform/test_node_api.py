"""Tests of the platform's interface for the reports of targets."""

from http import HTTPStatus
from typing import Any

from aiohttp import ClientSession
from aiohttp.test_utils import TestServer
from mustardspur_node.mesh.http_api import MAX_REPORT_BYTES
from mustardspur_platform.node_api import PlatformNodeApi


async def test_long_report_is_refused_unread() -> None:
    """Guards against a node that holds and decodes reports of any length."""
    node: Any = None
    app = PlatformNodeApi(node).targets_app()
    async with TestServer(app) as server, ClientSession() as session:
        url = server.make_url('/api/instances/i-1')
        async with session.put(url, data=bytes(MAX_REPORT_BYTES + 1)) as answer:
            status, text = answer.status, await answer.text()
    assert status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    assert str(MAX_REPORT_BYTES) in text

"""Tokens that control instances lend to each other, with real processes."""

import asyncio
from http import HTTPStatus
from pathlib import Path
from typing import Final

from tests.platform.mesh_processes import (
    HANG_LIMIT_S,
    HOST,
    POLL_S,
    Mesh,
    configuration,
    running_mesh,
    running_target,
)
from tests.support.virtual_time import ticks

_CONTROLS: Final = ('127.0.7.1', '127.0.7.2', '127.0.7.3')
_NODE: Final = '127.0.7.21'
# Each control instance has a third of it and of the burst.
_RATE_PER_S: Final = 30
# Time in which control instances connect to each other and exchange heartbeats.
_CONNECTED_S: Final = 4


async def _start(mesh: Mesh) -> None:
    await asyncio.gather(
        *(mesh.start_control(each, first_start=True) for each in _CONTROLS),
        mesh.start_node(_NODE),
    )
    document = configuration(3)
    limit = {'rate_per_s': _RATE_PER_S, 'burst': _RATE_PER_S}
    document['tenants'] = {'cafe': {'api_keys': ['k'], **limit}}
    await mesh.until(
        'PUT',
        mesh.url(_CONTROLS[1], 'http', '/api/config'),
        json=document,
        headers={'If-Match': 'r0'},
    )
    await mesh.report(_NODE)
    async with asyncio.timeout(HANG_LIMIT_S):
        while await _call(mesh) != HTTPStatus.OK:
            await asyncio.sleep(POLL_S)
    await asyncio.sleep(_CONNECTED_S)


async def _call(mesh: Mesh) -> int:
    async with mesh.session.get(
        mesh.url(_NODE, 'http', '/drafts/1'),
        headers={
            'Host': HOST,
            'Request-Id': 'r1',
            'Deadline-Ms': '2000',
            'Authorization': 'Bearer k',
        },
    ) as answer:
        return answer.status


async def test_burst_at_one_node_is_admitted(tmp_path: Path) -> None:
    """Guards against a node that gets only the tokens of its own control
    instance, while those of the others are unused.
    """
    async with running_mesh(tmp_path) as mesh, running_target(mesh, _NODE):
        await _start(mesh)
        statuses = [await _call(mesh) async for _ in ticks(_RATE_PER_S, 0)]
    assert set(statuses) == {HTTPStatus.OK}

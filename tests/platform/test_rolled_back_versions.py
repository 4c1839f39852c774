"""Tests of versions that stay rolled back, in a mesh of real processes."""

import asyncio
import json
from contextlib import AsyncExitStack
from http import HTTPStatus
from pathlib import Path
from typing import Final

import pytest
from aiohttp import ClientResponse
from mustardspur_core.mesh.control_messages import (
    ACCEPTS_ROLLED_BACK,
    MeshSubscribe,
    MeshTransfers,
)
from mustardspur_core.wire import connect_stream

from tests.platform.mesh_processes import (
    HANG_LIMIT_S,
    POLL_S,
    Mesh,
    configuration,
    running_mesh,
    running_target,
)

CONTROLS: Final = ('127.0.7.1', '127.0.7.2', '127.0.7.3')
# The nodes of the targets of v1 and v2.
NODES: Final = ('127.0.7.21', '127.0.7.22')
CALLS: Final = 20
_ORDERS: Final = '/api/rollouts'


async def _start_controls(mesh: Mesh, *, first_start: bool) -> None:
    await asyncio.gather(
        *(
            mesh.start_control(each, first_start=first_start)
            for each in CONTROLS
        )
    )


def _transfer_url(mesh: Mesh, control: str) -> str:
    return mesh.url(control, 'http', f'{_ORDERS}/forms')


async def _order(mesh: Mesh, version: str, duration: str) -> None:
    await mesh.until(
        'POST',
        mesh.url(CONTROLS[0], 'http', _ORDERS),
        json={
            'service': 'forms',
            'target_version': version,
            'duration': duration,
        },
    )


async def _roll_back(mesh: Mesh) -> None:
    """Order v2, and wait until it is rolled back at its deadline."""
    await _order(mesh, 'v2', '1s')
    url = _transfer_url(mesh, CONTROLS[0])
    async with asyncio.timeout(HANG_LIMIT_S):
        while json.loads(await mesh.until('GET', url))['state'] == 'running':
            await asyncio.sleep(POLL_S)


async def _received_transfers(
    mesh: Mesh, control: str, greeting_id: int
) -> MeshTransfers:
    """Return the first transfers that a control instance sends to a node."""
    address = f'{control}:{mesh.ports["stream"]}'
    async with (
        asyncio.timeout(HANG_LIMIT_S),
        connect_stream(address, HANG_LIMIT_S) as stream,
    ):
        stream.enqueue(
            MeshSubscribe(
                node='127.0.7.99:9',
                data_centre='split-a',
                region='dalmacija',
                table_index=0,
            ),
            greeting_id,
        )
        while True:
            body = (await stream.receive()).body
            if isinstance(body, MeshTransfers) and body.transfers:
                return body


@pytest.mark.parametrize(
    ('greeting_id', 'expected'),
    [(0, {}), (ACCEPTS_ROLLED_BACK, {'forms': ['v2']})],
)
async def test_nodes_of_earlier_builds_are_sent_no_new_field(
    tmp_path: Path, greeting_id: int, expected: dict[str, list[str]]
) -> None:
    """Guards against nodes of earlier builds that lose all control instances
    once a version has been rolled back.
    """
    async with running_mesh(tmp_path) as mesh:
        await _start_controls(mesh, first_start=True)
        await _roll_back(mesh)
        await asyncio.gather(*map(mesh.kill, CONTROLS))
        await _start_controls(mesh, first_start=False)
        await asyncio.gather(
            *(mesh.until('GET', _transfer_url(mesh, each)) for each in CONTROLS)
        )
        received = await asyncio.gather(
            *(_received_transfers(mesh, each, greeting_id) for each in CONTROLS)
        )
    assert all(each.rolled_back == expected for each in received)


async def _statuses(mesh: Mesh) -> set[int]:
    """Return the statuses of calls at both nodes."""
    hosts = [NODES[number % len(NODES)] for number in range(CALLS)]
    return set(await asyncio.gather(*(_status(mesh, each) for each in hosts)))


async def _status(mesh: Mesh, host: str) -> int:
    response: ClientResponse
    async with mesh.call(host) as response:
        return response.status


async def test_restarts_keep_versions_rolled_back(tmp_path: Path) -> None:
    """Guards against calls to a version that was rolled back before all
    processes restarted, during the transfer to the next version.
    """
    async with running_mesh(tmp_path) as mesh, AsyncExitStack() as stack:
        paths = await asyncio.gather(
            *(
                stack.enter_async_context(running_target(mesh, each))
                for each in NODES
            )
        )
        await _start_controls(mesh, first_start=True)
        await asyncio.gather(*map(mesh.start_node, NODES))
        await mesh.until(
            'PUT',
            mesh.url(CONTROLS[1], 'http', '/api/config'),
            json=configuration(3),
            headers={'If-Match': 'r0'},
        )
        await mesh.report(NODES[0])
        await _roll_back(mesh)
        await mesh.report(NODES[1], version='v2')
        await _order(mesh, 'v3', '600s')
        await asyncio.gather(*map(mesh.kill, (*CONTROLS, *NODES)))
        await _start_controls(mesh, first_start=False)
        await asyncio.gather(*map(mesh.start_node, NODES))
        await mesh.report(NODES[0], sequence=2)
        await mesh.report(NODES[1], sequence=2, version='v2')
        await asyncio.gather(
            *(mesh.until_logged(each, '"target confirmed"') for each in NODES)
        )
        async with asyncio.timeout(HANG_LIMIT_S):
            while await _statuses(mesh) != {HTTPStatus.OK}:
                await asyncio.sleep(POLL_S)
        await mesh.report(NODES[0], sequence=3, state='draining')
        async with asyncio.timeout(HANG_LIMIT_S):
            while HTTPStatus.OK in await _statuses(mesh):
                await asyncio.sleep(POLL_S)
    served, rolled_back = map(len, paths)
    assert served >= CALLS
    assert not rolled_back

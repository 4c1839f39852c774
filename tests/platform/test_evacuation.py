"""End-to-end test of an evacuation with real processes on the platform."""

import asyncio
import signal
from pathlib import Path
from typing import Final

from tests.platform.mesh_processes import (
    POLL_S,
    Mesh,
    body_of,
    configuration,
    running_mesh,
    running_target,
)

_CONTROLS: Final = ('127.0.7.1', '127.0.7.2', '127.0.7.3')
_NODES: Final = ('127.0.7.31', '127.0.7.32')
_ZONES: Final = ('split-a', 'split-b')


async def _start(mesh: Mesh, *, first_start: bool) -> None:
    controls = (
        mesh.start_control(host, first_start=first_start) for host in _CONTROLS
    )
    nodes = map(mesh.start_node, _NODES, _ZONES)
    await asyncio.gather(*controls, *nodes)
    await asyncio.gather(*map(mesh.report, _NODES))


async def _order(mesh: Mesh, method: str, zone: str) -> None:
    url = mesh.url(_CONTROLS[0], 'http', f'/api/evacuations/{zone}')
    await mesh.until(method, url)


async def _answer(mesh: Mesh, host: str) -> str:
    async with mesh.call(host) as response:
        return (await body_of(response))[1]


async def _until_answered_by(mesh: Mesh, host: str, expected: str) -> None:
    while await _answer(mesh, host) != f'answer of {expected}':
        await asyncio.sleep(POLL_S)


async def _until_all_answer(mesh: Mesh) -> None:
    """Wait until each node has its calls answered by the nearest target."""
    await asyncio.gather(
        *(_until_answered_by(mesh, host, host) for host in _NODES),
    )


async def test_evacuation_outlives_the_loss_of_all(tmp_path: Path) -> None:
    """Guards against calls in an evacuated data centre: at a node that was
    cut off when the order came, and after the restart of all processes.
    """
    near, far = _NODES
    async with (
        running_mesh(tmp_path) as mesh,
        running_target(mesh, near),
        running_target(mesh, far) as far_paths,
    ):
        await _start(mesh, first_start=True)
        await mesh.until(
            'PUT',
            mesh.url(_CONTROLS[0], 'http', '/api/config'),
            json=configuration(1),
            headers={'If-Match': 'r0'},
        )
        await _until_all_answer(mesh)
        mesh.processes[far].send_signal(signal.SIGSTOP)
        await _order(mesh, 'POST', 'split-b')
        mesh.processes[far].send_signal(signal.SIGCONT)
        await mesh.until_logged(far, 'target withdrawn')
        await _until_answered_by(mesh, far, near)
        before = len(far_paths)
        answers = [await _answer(mesh, near), await _answer(mesh, far)]
        # A node without a control instance keeps the evacuation.
        await asyncio.gather(*map(mesh.kill, _CONTROLS))
        answers.append(await _answer(mesh, far))
        await asyncio.gather(*map(mesh.kill, _NODES))
        await _start(mesh, first_start=False)
        await _until_answered_by(mesh, far, near)
        assert set(answers) == {f'answer of {near}'}
        assert len(far_paths) == before
        await _order(mesh, 'DELETE', 'split-b')
        await _until_all_answer(mesh)

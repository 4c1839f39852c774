"""Tests of starts for which something is missing."""

import asyncio
import json
import socket
from pathlib import Path
from typing import Any, Final

import pytest

from tests.platform.mesh_processes import HANG_LIMIT_S, Mesh, running_mesh

_HOST: Final = '127.0.7.21'


async def _start(mesh: Mesh, role: str, **settings: Any) -> None:
    if role == 'node':
        await mesh.start_node(_HOST, **settings)
    else:
        await mesh.start_control(_HOST, first_start=True, **settings)


async def _exit_code(mesh: Mesh) -> int:
    async with asyncio.timeout(HANG_LIMIT_S):
        return await mesh.processes.pop(_HOST).wait()


def _line(mesh: Mesh, message: str) -> dict[str, Any]:
    """Return the only log line with a message; each line has to be JSON."""
    text = (mesh.folder / f'{_HOST}.log').read_text('utf-8')
    lines: list[dict[str, Any]] = list(map(json.loads, text.splitlines()))
    found = [line for line in lines if line['message'] == message]
    assert len(found) == 1
    return found[0]


@pytest.mark.parametrize('role', ['node', 'control'])
async def test_taken_address_is_reported(role: str, tmp_path: Path) -> None:
    """Guards against a start that fails with a traceback and no reason."""
    async with running_mesh(tmp_path) as mesh:
        address = (_HOST, mesh.ports['stream'])
        with socket.create_server(address):
            await _start(mesh, role)
            assert await _exit_code(mesh) == 3
        line = _line(mesh, 'cannot start')
        assert 'address taken by another process' in line['reason']


async def test_unusable_data_folder_is_reported(tmp_path: Path) -> None:
    """Guards against a start that fails with a traceback and no reason."""
    async with running_mesh(tmp_path) as mesh:
        mesh.launcher.data_dir(_HOST).write_text('')
        await _start(mesh, 'control')
        assert await _exit_code(mesh) == 3
        line = _line(mesh, 'cannot start')
        assert 'not a usable folder' in line['reason']


async def test_damaged_voters_are_reported(tmp_path: Path) -> None:
    """Guards against an unexpected error that the log does not show."""
    async with running_mesh(tmp_path) as mesh:
        folder = mesh.launcher.data_dir(_HOST)
        folder.mkdir()
        (folder / 'first-voters.json').write_text('{')
        await _start(mesh, 'control')
        assert await _exit_code(mesh) == 1
        line = _line(mesh, 'ended by an unexpected error')
        assert 'JSONDecodeError' in line['exc_info']

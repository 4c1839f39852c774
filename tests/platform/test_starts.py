"""Tests of starts for which something is missing."""

import asyncio
import fcntl
import json
import os
import socket
from pathlib import Path
from typing import Any, Final

import pytest

from tests.platform.mesh_processes import HANG_LIMIT_S, Mesh, running_mesh

_HOST: Final = '127.0.7.21'
# Longer than the time for which damaged settings are read again.
_MISSING_S: Final = 2.5


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


async def test_start_waits_for_its_data_folder(tmp_path: Path) -> None:
    """Guards against two processes that write to one data folder, as the one
    before has closed its listeners but not ended.
    """
    async with running_mesh(tmp_path) as mesh:
        folder = mesh.launcher.data_dir(_HOST)
        folder.mkdir()
        descriptor = os.open(folder, os.O_RDONLY)
        fcntl.flock(descriptor, fcntl.LOCK_EX)
        await _start(mesh, 'control')
        await mesh.until_logged(_HOST, 'start waits')
        assert not list(folder.iterdir())
        os.close(descriptor)
        await mesh.until_logged(_HOST, 'start continues')
        await mesh.until_logged(_HOST, '"started"')
        assert await mesh.stop(_HOST) == 0


@pytest.mark.parametrize('role', ['node', 'control'])
async def test_start_waits_for_missing_settings(
    role: str,
    tmp_path: Path,
) -> None:
    """Guards against a process that ends as its settings come some seconds
    after it, as from a folder that is mounted late.
    """
    async with running_mesh(tmp_path) as mesh:
        await _start(mesh, role)
        path = tmp_path / f'{_HOST}.json'
        hidden = path.rename(tmp_path / 'hidden.json')
        await mesh.until_logged(_HOST, 'settings are read again')
        await asyncio.sleep(_MISSING_S)
        assert mesh.processes[_HOST].returncode is None
        hidden.rename(path)
        await mesh.until_logged(_HOST, 'started')
        text = (tmp_path / f'{_HOST}.log').read_text('utf-8')
        assert text.count('cannot read the settings file') == 1


async def test_stop_signal_ends_a_wait_for_settings(tmp_path: Path) -> None:
    """Guards against a waiting process that ends as if it had failed."""
    async with running_mesh(tmp_path) as mesh:
        await _start(mesh, 'node')
        (tmp_path / f'{_HOST}.json').unlink()
        await mesh.until_logged(_HOST, 'settings are read again')
        await asyncio.sleep(0.1)
        assert await mesh.stop(_HOST) == 0

"""Tests of control instances that start while their disk refuses calls."""

import asyncio
import json
import os
import sys
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

import pytest

from tests.platform.mesh_processes import (
    REPOSITORY,
    Launcher,
    Mesh,
    configuration,
    running_mesh,
)
from tests.support.recorded_start import FAULTS_SUFFIX, FOLDER_VARIABLE

_HOST: Final = '127.0.7.1'
_FULL: Final = MappingProxyType(
    {'error': 'ENOSPC', 'refused': ['write', 'grow', 'create']},
)
_READ_ONLY: Final = MappingProxyType(
    {'error': 'EROFS', 'refused': ['write', 'create', 'remove', 'cut']},
)
_FAILING: Final = MappingProxyType({'error': 'EIO', 'refused': ['sync']})


class _RecordedLauncher(Launcher):
    """Starts control instances whose disks can refuse calls."""

    def command(self, host: str, role: str) -> list[str]:
        """Return the command of the module that refuses calls."""
        return [sys.executable, '-m', 'tests.support.recorded_start']

    def variables(self, host: str) -> dict[str, str]:
        """Return the environment variables of the module."""
        self.python_path = (str(REPOSITORY / 'platform'), str(REPOSITORY))
        folder = str(self.data_dir(host))
        return {**super().variables(host), FOLDER_VARIABLE: folder}

    def refuse(self, host: str, **faults: Any) -> None:
        """Set the faults of a disk, none without arguments."""
        path = Path(f'{self.data_dir(host)}{FAULTS_SUFFIX}')
        written = path.with_suffix('.written')
        written.write_text(json.dumps(faults), 'utf-8')
        os.replace(written, path)


async def _start(mesh: Mesh, *, first_start: bool) -> None:
    seeds = [f'{_HOST}:{mesh.ports["http"]}']
    await mesh.start_control(_HOST, first_start=first_start, seeds=seeds)


async def _until_waiting(mesh: Mesh) -> None:
    """Wait until the start waits; fail if the process ends."""
    process = mesh.processes[_HOST]
    ended = asyncio.create_task(process.wait())
    waiting = asyncio.create_task(mesh.until_logged(_HOST, 'start waits'))
    await asyncio.wait((ended, waiting), return_when='FIRST_COMPLETED')
    waiting.cancel()
    assert not ended.done()
    ended.cancel()


async def _put(mesh: Mesh) -> None:
    await mesh.until(
        'PUT',
        mesh.url(_HOST, 'http', '/api/config'),
        json=configuration(1),
        headers={'If-Match': 'r0'},
    )


@pytest.mark.parametrize('faults', [_FULL, _READ_ONLY, _FAILING])
async def test_first_start_waits_for_its_disk(
    faults: dict[str, Any], tmp_path: Path
) -> None:
    """Guards against a control instance that ends at its first start while its
    disk is full, and is missing among the first voters.
    """
    async with running_mesh(tmp_path) as mesh:
        launcher = _RecordedLauncher(tmp_path)
        mesh.launcher = launcher
        launcher.refuse(_HOST, **faults)
        await _start(mesh, first_start=True)
        await _until_waiting(mesh)
        launcher.refuse(_HOST)
        await _put(mesh)


async def test_later_start_waits_for_a_failing_disk(tmp_path: Path) -> None:
    """Guards against a control instance that ends at a later start, since its
    files cannot be synced then.
    """
    async with running_mesh(tmp_path) as mesh:
        launcher = _RecordedLauncher(tmp_path)
        mesh.launcher = launcher
        await _start(mesh, first_start=True)
        await _put(mesh)
        await mesh.kill(_HOST)
        launcher.refuse(_HOST, **_FAILING)
        await _start(mesh, first_start=False)
        await _until_waiting(mesh)
        launcher.refuse(_HOST)
        read = await mesh.until('GET', mesh.url(_HOST, 'http', '/api/config'))
        assert json.loads(read) == configuration(1)


async def test_later_start_needs_no_room(tmp_path: Path) -> None:
    """Guards against a control instance that serves nothing as its disk is
    full, though it has its files.
    """
    async with running_mesh(tmp_path) as mesh:
        launcher = _RecordedLauncher(tmp_path)
        mesh.launcher = launcher
        await _start(mesh, first_start=True)
        await _put(mesh)
        await mesh.kill(_HOST)
        launcher.refuse(_HOST, **_FULL)
        await _start(mesh, first_start=False)
        await mesh.until_logged(_HOST, 'started')
        assert await mesh.stop(_HOST) == 0

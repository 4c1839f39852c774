"""Tests of the settings that a process reads at its start."""

import asyncio
from pathlib import Path

import pytest

from tests.platform.mesh_processes import running_mesh

_HOST = '127.0.7.21'


async def test_settings_written_at_the_start_end_no_process(
    tmp_path: Path,
) -> None:
    """Guards against a process that ends as it reads a part of its settings."""
    async with running_mesh(tmp_path) as mesh:
        await mesh.start_node(_HOST)
        process = mesh.processes[_HOST]
        path = tmp_path / f'{_HOST}.json'
        valid = path.read_text('utf-8')
        path.write_text(valid[: len(valid) // 2], 'utf-8')
        ended = asyncio.create_task(process.wait())
        reading = asyncio.create_task(
            mesh.until_logged(_HOST, 'settings are read again'),
        )
        await asyncio.wait((ended, reading), return_when='FIRST_COMPLETED')
        assert not ended.done()
        path.write_text(valid, 'utf-8')
        await mesh.until_logged(_HOST, 'started')
        ended.cancel()


@pytest.mark.parametrize('role', ['node', 'control'])
async def test_settings_that_stay_damaged_end_a_process(
    role: str,
    tmp_path: Path,
) -> None:
    """Guards against a process that waits for settings without an end."""
    async with running_mesh(tmp_path) as mesh:
        if role == 'node':
            await mesh.start_node(_HOST)
        else:
            await mesh.start_control(_HOST, first_start=True)
        process = mesh.processes.pop(_HOST)
        (tmp_path / f'{_HOST}.json').write_text('{', 'utf-8')
        assert await process.wait() == 2

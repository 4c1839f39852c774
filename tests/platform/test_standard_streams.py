"""Tests of processes that are started without some standard streams."""

import asyncio
from pathlib import Path
from typing import Final

import pytest

from tests.platform.mesh_processes import HANG_LIMIT_S, POLL_S, running_mesh

_HOST: Final = '127.0.7.21'


async def _until_listening(port: int) -> None:
    async with asyncio.timeout(HANG_LIMIT_S):
        while True:
            try:
                _, writer = await asyncio.open_connection(_HOST, port)
            except ConnectionRefusedError:
                await asyncio.sleep(POLL_S)
            else:
                writer.close()
                return


@pytest.mark.parametrize('role', ['node', 'control'])
@pytest.mark.parametrize('closed', ['>&-', '2>&-', '<&- >&- 2>&-'])
async def test_closed_standard_stream_ends_no_process(
    closed: str,
    role: str,
    tmp_path: Path,
) -> None:
    """Guards against a process that ends at its start as it has no standard
    output, or at its stop as the event loop got the descriptor of one.
    """
    async with running_mesh(tmp_path) as mesh:
        shell = ('/bin/sh', '-c', f'exec "$@" {closed}', 'sh')
        mesh.launcher.supervisor = shell
        if role == 'node':
            await mesh.start_node(_HOST)
            port = mesh.ports['ready']
        else:
            await mesh.start_control(_HOST, first_start=True)
            port = mesh.ports['http']
        process = mesh.processes[_HOST]
        ended = asyncio.create_task(process.wait())
        listening = asyncio.create_task(_until_listening(port))
        await asyncio.wait((ended, listening), return_when='FIRST_COMPLETED')
        listening.cancel()
        assert process.returncode is None
        assert await mesh.stop(_HOST) == 0
        await ended

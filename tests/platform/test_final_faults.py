"""Guards against the loss of what was acknowledged, after a final fault."""

import asyncio
from pathlib import Path
from random import Random

from tests.platform.final_faults.mesh import (
    RecordingLauncher,
    running_faulty_mesh,
)
from tests.platform.final_faults.run import play_seed
from tests.platform.mesh_processes import configuration

CONTROLS = ('127.0.7.1', '127.0.7.2', '127.0.7.3')


class _CreatedFolders(RecordingLauncher):
    def data_dir(self, host: str) -> Path:
        return self.disk(host) / 'lib' / 'data'


async def test_created_data_folder_survives_a_power_loss(
    tmp_path: Path,
) -> None:
    """Guards against the loss of all that was acknowledged, if the processes
    create their data folders and all lose power.
    """
    random = Random(1)
    launcher = _CreatedFolders(tmp_path)
    async with running_faulty_mesh(tmp_path, launcher) as mesh:
        await asyncio.gather(
            *(mesh.start_control(host, first_start=True) for host in CONTROLS)
        )
        url = mesh.url(CONTROLS[0], 'http', '/api/config')
        document = configuration(3)
        await mesh.until('PUT', url, json=document, headers={'If-Match': 'r0'})
        await mesh.end_all()
        for lost in CONTROLS:
            mesh.lose_power(lost, random)
        await asyncio.gather(
            *(mesh.start_control(host, first_start=False) for host in CONTROLS)
        )
        await mesh.until('GET', url)


async def test_acknowledged_orders_survive_a_final_fault(
    tmp_path: Path,
) -> None:
    """Guards against acknowledged changes and transfers that are gone, or that
    no quorum can confirm any more.
    """
    play = await play_seed('full', 1, tmp_path, read_on_s=2)
    assert not play.orders.broken
    assert not play.ended


async def test_first_acks_survive_a_final_fault(tmp_path: Path) -> None:
    """Guards against acknowledgements while a seed has not started, after which
    one lost disk leaves no quorum.
    """
    play = await play_seed('late', 1, tmp_path, read_on_s=1)
    assert not play.orders.broken
    assert not play.ended

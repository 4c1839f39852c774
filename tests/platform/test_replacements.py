"""Replaced control instances that get SIGHUP at once, then a final fault."""

import asyncio
import json
import random
import signal
from pathlib import Path
from typing import Final

import pytest

from tests.platform.mesh_processes import (
    Mesh,
    configuration,
    running_mesh,
    until_sighup_harmless,
)

_CONTROLS: Final = tuple(f'127.0.7.{number}' for number in (1, 2, 3, 4))
_SUCCESSORS: Final = ('127.0.7.5', '127.0.7.6')


class _Play:
    """Control instances of a mesh, replaced one after the other."""

    def __init__(self, mesh: Mesh, source: random.Random) -> None:
        self.live = list(_CONTROLS)
        self._mesh = mesh
        self._random = source

    async def start(self) -> None:
        """Start the first instances for the first time."""
        await asyncio.gather(
            *(
                self._mesh.start_control(host, first_start=True)
                for host in self.live
            ),
        )
        await self._until_all_count(_CONTROLS[-1])

    async def replace(self, successor: str) -> None:
        """Replace an instance, planned or not, by a new one."""
        lost = self._random.choice(self.live)
        self.live.remove(lost)
        seeds = self._seeds()
        if self._random.choice((True, False)):
            await self._mesh.stop(lost)
        else:
            await self._mesh.kill(lost)
        self._mesh.wipe(lost)
        await self._mesh.start_control(
            successor, first_start=False, seeds=seeds
        )
        self.live.append(successor)
        process = self._mesh.processes[successor]
        await until_sighup_harmless(process.pid)
        process.send_signal(signal.SIGHUP)
        await self._until_all_count(successor)

    async def lose_a_disk_and_kill_all(self) -> None:
        """Kill all instances, one of which loses its disk; start them again."""
        await asyncio.gather(*map(self._mesh.kill, self.live))
        self._mesh.wipe(self._random.choice(self.live))
        seeds = self._seeds()
        await asyncio.gather(
            *(
                self._mesh.start_control(host, first_start=False, seeds=seeds)
                for host in self.live
            ),
        )

    async def _until_all_count(self, host: str) -> None:
        """Wait until an instance knows that all count; one may be lost then."""
        voters = json.dumps(sorted(self.live))
        await self._mesh.until_logged(host, f'"voters": {voters}')

    def _seeds(self) -> list[str]:
        port = self._mesh.ports['http']
        return [f'{host}:{port}' for host in self.live[:3]]


@pytest.mark.parametrize('seed', [1])
async def test_replaced_instances_keep_what_was_acknowledged(
    seed: int,
    tmp_path: Path,
) -> None:
    """Guards against a group that loses its quorum, as a new instance that
    gets SIGHUP at its start does not count.
    """
    async with running_mesh(tmp_path) as mesh:
        play = _Play(mesh, random.Random(seed))
        await play.start()
        await _put(mesh, play.live, 3, 0)
        await play.replace(_SUCCESSORS[0])
        await play.replace(_SUCCESSORS[1])
        await _put(mesh, play.live, 5, 3)
        await play.lose_a_disk_and_kill_all()
        read = await asyncio.gather(
            *(
                mesh.until('GET', mesh.url(host, 'http', '/api/config'))
                for host in play.live
            ),
        )
        expected = [configuration(5) for _ in play.live]
        assert [json.loads(body) for body in read] == expected


async def _put(mesh: Mesh, hosts: list[str], number: int, base: int) -> None:
    await mesh.until(
        'PUT',
        mesh.url(hosts[0], 'http', '/api/config'),
        json=configuration(number),
        headers={'If-Match': f'r{base}'},
    )

"""Replaces a lost voter and loses a second one: ``python -m demo.repair``."""

import asyncio
import os
import shutil
import sys
from pathlib import Path
from typing import Any, Final

from demo.__main__ import FIRST_NETWORK, NETWORKS
from demo.mesh import Control, Mesh
from demo.processes import process_group
from demo.scenario import FIRST_VERSION, GOOD_VERSION, MOVE_WITHIN_S, Stage

FOLDER: Final = Path('build/demo-repair')


async def _repair(mesh: Mesh) -> list[str]:
    async with process_group(mesh.folder / 'logs') as group:
        stage = Stage(mesh, group)
        await stage.start_mesh()
        await stage.first_profile()
        lost, second, _, spare = mesh.controls
        await _lose_disk(stage, lost)
        added = await stage.operator.run('add-voter', *_place(spare))
        removed = await stage.operator.run('remove-voter', lost.id)
        await group.kill(second.id)
        edited = await stage.operator.put_profile(GOOD_VERSION, MOVE_WITHIN_S)
        listed = await stage.operator.run('list')
        return _broken(mesh, [added, removed, edited, listed])


async def _lose_disk(stage: Stage, control: Control) -> None:
    await stage.group.kill(control.id)
    shutil.rmtree(stage.mesh.folder / 'data' / control.id)


def _place(control: Control) -> list[str]:
    return [
        control.id,
        '--stream',
        control.stream_address,
        '--http',
        control.http_address,
        '--data-centre',
        control.data_centre.name,
        '--region',
        control.data_centre.region,
    ]


def _broken(mesh: Mesh, answers: list[dict[str, Any]]) -> list[str]:
    checks = _checks(mesh, answers)
    broken = [text for text, is_held in checks.items() if not is_held]
    for text in checks:
        verdict = 'BROKEN' if text in broken else 'held'
        sys.stdout.write(f'{verdict}: {text}\n')
    return broken


def _checks(mesh: Mesh, answers: list[dict[str, Any]]) -> dict[str, bool]:
    names = [control.id for control in mesh.controls]
    added, removed, edited, listed = answers
    return {
        f'four voters after add-voter: {added}': added['voters'] == names,
        f'{names[0]} is gone: {removed}': removed['voters'] == names[1:],
        f'the edit is number 2: {edited}': edited['number'] == 2,
        f'the profile is there: {listed}': len(listed['profiles']) == 1,
    }


def main() -> int:
    """Lose two of three voters, one after the repair of the other."""
    shutil.rmtree(FOLDER, ignore_errors=True)
    mesh = Mesh(FOLDER.resolve(), FIRST_NETWORK + os.getpid() % NETWORKS)
    sys.stdout.write(
        f'version {FIRST_VERSION} in force, then one voter and its disk are '
        'lost, replaced, and a second voter is lost\n',
    )
    return 1 if asyncio.run(_repair(mesh)) else 0


if __name__ == '__main__':
    sys.exit(main())

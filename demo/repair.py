"""Replaces a lost voter, then kills a second one.

Run as ``python -m demo.repair``.
"""

import asyncio
import os
import shutil
import sys
from pathlib import Path
from typing import Any, Final

from demo.__main__ import FIRST_NETWORK, NETWORK_COUNT
from demo.mesh import ControlInstance, DemoMesh
from demo.processes import process_group
from demo.scenario import (
    FIRST_VERSION,
    GOOD_VERSION,
    MOVE_WITHIN_S,
    DemoEnvironment,
)

FOLDER: Final = Path('build/demo-repair')


async def _replace_voter(mesh: DemoMesh) -> list[str]:
    async with process_group(mesh.folder / 'logs') as group:
        environment = DemoEnvironment(mesh, group)
        await environment.start_mesh()
        await environment.put_first_profile()
        lost, second, _, spare = mesh.controls
        await _lose_instance(environment, lost)
        added = await environment.operator.run(
            'add-voter', *_voter_arguments(spare)
        )
        removed = await environment.operator.run('remove-voter', lost.id)
        await group.kill(second.id)
        edited = await environment.operator.put_profile(
            GOOD_VERSION, MOVE_WITHIN_S
        )
        listed = await environment.operator.run('list')
        return _print_verdicts(mesh, [added, removed, edited, listed])


async def _lose_instance(
    environment: DemoEnvironment, control: ControlInstance
) -> None:
    await environment.group.kill(control.id)
    shutil.rmtree(environment.mesh.folder / 'data' / control.id)


def _voter_arguments(control: ControlInstance) -> list[str]:
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


def _print_verdicts(mesh: DemoMesh, answers: list[dict[str, Any]]) -> list[str]:
    checks = _checks(mesh, answers)
    failed = [text for text, has_held in checks.items() if not has_held]
    for text in checks:
        verdict = 'BROKEN' if text in failed else 'held'
        sys.stdout.write(f'{verdict}: {text}\n')
    return failed


def _checks(mesh: DemoMesh, answers: list[dict[str, Any]]) -> dict[str, bool]:
    names = [control.id for control in mesh.controls]
    added, removed, edited, listed = answers
    return {
        f'four voters after add-voter: {added}': added['voters'] == names,
        f'{names[0]} is gone: {removed}': removed['voters'] == names[1:],
        f'the edit is number 2: {edited}': edited['number'] == 2,
        f'the profile is there: {listed}': len(listed['profiles']) == 1,
    }


def main() -> int:
    """Lose two of three voters, the second after replacing the first.

    Returns
    -------
    int
        0 if the mesh accepts edits afterwards, else 1.
    """
    shutil.rmtree(FOLDER, ignore_errors=True)
    mesh = DemoMesh(
        FOLDER.resolve(), FIRST_NETWORK + os.getpid() % NETWORK_COUNT
    )
    sys.stdout.write(
        f'version {FIRST_VERSION} in force, then one voter and its disk are '
        'lost, replaced, and a second voter is lost\n',
    )
    return 1 if asyncio.run(_replace_voter(mesh)) else 0


if __name__ == '__main__':
    sys.exit(main())

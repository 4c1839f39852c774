"""The demo's operator: runs the command line and reads its JSON."""

import asyncio
import json
from pathlib import Path
from typing import Any, Final

from demo.mesh import PROFILE, Mesh
from demo.processes import BINARIES

OK: Final = 0
# At the demo's 125 calls a second a smaller share would need minutes.
FIRST_SHARE: Final = 0.1
COMMAND_TIMEOUT_S: Final = 40.0


class CommandFailed(Exception):
    """A command of the operator ended with an unexpected exit code."""


class Operator:
    """Runs ``mustardspur`` against the mesh's control instances."""

    __slots__ = ('_folder', '_mesh')

    def __init__(self, mesh: Mesh) -> None:
        """Keep numbers that were read in the demo's folder."""
        self._mesh = mesh
        self._folder = mesh.folder / 'operator'
        self._folder.mkdir(parents=True, exist_ok=True)

    async def run(
        self,
        *arguments: str,
        codes: tuple[int, ...] = (OK,),
    ) -> Any:
        """Run a verb and return the JSON that it prints."""
        process = await asyncio.create_subprocess_exec(
            str(BINARIES / 'mustardspur'),
            *arguments,
            '--output',
            'json',
            '--state-dir',
            str(self._folder),
            *self._control_arguments(),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        async with asyncio.timeout(COMMAND_TIMEOUT_S):
            printed, complaints = await process.communicate()
        if process.returncode not in codes:
            command = ' '.join(arguments)
            raise CommandFailed(f'{command}: {complaints.decode()}')
        return json.loads(printed.splitlines()[-1] if printed else b'null')

    async def put_profile(
        self,
        version: str,
        within_s: float,
        *options: str,
    ) -> Any:
        """Put the demo's profile with a version."""
        example = Path('examples') / f'{PROFILE}.json'
        document = json.loads(example.read_text('utf-8'))
        document['target_sets']['stable']['version'] = version
        document['move'] |= {
            'within_s': within_s,
            'first_share': FIRST_SHARE,
            'weighing': 'convergence_time',
        }
        path = self._folder / f'{PROFILE}-{version}.json'
        path.write_text(json.dumps(document, indent=2), encoding='utf-8')
        return await self.run('put', str(path), *options)

    def _control_arguments(self) -> list[str]:
        arguments: list[str] = []
        for control in self._mesh.controls:
            arguments.extend(('--control', control.http_address))
        return arguments

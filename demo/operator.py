"""Operator of the demo: runs the command line and parses its output."""

import asyncio
import json
from pathlib import Path
from typing import Any, Final

from demo.mesh import PROFILE, DemoMesh
from demo.processes import BINARY_FOLDER

OK: Final = 0
# At the demo's 125 calls per second, a smaller first share would need minutes
# to gather enough evidence.
FIRST_SHARE: Final = 0.1
COMMAND_TIMEOUT_S: Final = 40.0


class CommandFailed(Exception):
    """A command ended with an unexpected exit code."""


class Operator:
    """Runs the ``mustardspur`` command against the control instances.

    Parameters
    ----------
    mesh : DemoMesh
        Mesh whose control instances receive the commands.
    """

    __slots__ = ('_folder', '_mesh')

    def __init__(self, mesh: DemoMesh) -> None:
        """Create the state folder of the command line."""
        self._mesh = mesh
        self._folder = mesh.folder / 'operator'
        self._folder.mkdir(parents=True, exist_ok=True)

    async def run(
        self,
        *arguments: str,
        codes: tuple[int, ...] = (OK,),
    ) -> Any:
        """Run a verb and return the last JSON line of its output.

        Parameters
        ----------
        *arguments : str
            Verb and its arguments.
        codes : tuple of int
            Accepted exit codes.

        Raises
        ------
        CommandFailed
            If the command ends with another exit code.
        TimeoutError
            If it does not end within COMMAND_TIMEOUT_S.
        """
        process = await asyncio.create_subprocess_exec(
            str(BINARY_FOLDER / 'mustardspur'),
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
            output, error_output = await process.communicate()
        if process.returncode not in codes:
            command = ' '.join(arguments)
            raise CommandFailed(f'{command}: {error_output.decode()}')
        return json.loads(output.splitlines()[-1] if output else b'null')

    async def put_profile(
        self,
        version: str,
        within_s: float,
        *options: str,
    ) -> Any:
        """Put the demo's profile with a version of the service.

        Parameters
        ----------
        version : str
            Version of the stable target set.
        within_s : float
            Time limit of the move, in seconds.
        *options : str
            Further options of ``mustardspur put``.
        """
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

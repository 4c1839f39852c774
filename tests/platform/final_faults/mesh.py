"""Control instances whose disks and clocks can be made faulty."""

import asyncio
import json
import os
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any, Final

from aiohttp import ClientSession

from tests.platform.mesh_processes import (
    REPOSITORY,
    Launcher,
    Mesh,
    reserved_ports,
)
from tests.support.built_program import built_program
from tests.support.power_loss import RecordedFolder, clear
from tests.support.recorded_start import (
    FAULTS_SUFFIX,
    FOLDER_VARIABLE,
    SNAPSHOT_VARIABLE,
)

# Folder of another commit, with its virtual environment, to play on it.
COMMIT_VARIABLE: Final = 'PLAYED_COMMIT'
# Time from SIGTERM to SIGKILL.
GRACE_S: Final = 6.0
_START: Final = REPOSITORY / 'tests' / 'support' / 'recorded_start.py'


class RecordingLauncher(Launcher):
    """Starts processes whose file calls are recorded."""

    # Entries between two snapshots.
    snapshot_entries = 4096

    def disk(self, host: str) -> Path:
        """Return the recorded folder, which exists before the first start."""
        folder = self.folder / f'{host}.disk'
        folder.mkdir(exist_ok=True)
        return folder

    def data_dir(self, host: str) -> Path:
        """Return the recorded folder, where files are stored."""
        return self.disk(host)

    def command(self, host: str, role: str) -> list[str]:
        """Return the command that records the file calls."""
        return [str(self._python()), '-P', str(_START)]

    def variables(self, host: str) -> dict[str, str]:
        """Return the variables of the recorder and of the played commit."""
        commit = played_commit()
        sources = [commit / 'platform', *commit.glob('packages/*/src')]
        return {
            FOLDER_VARIABLE: str(self.disk(host)),
            SNAPSHOT_VARIABLE: str(self.snapshot_entries),
            'PYTHONPATH': os.pathsep.join(map(str, sources)),
        }

    def _python(self) -> Path:
        """Return the built program, unless another commit has its Python."""
        commit = played_commit()
        python = commit / '.venv' / 'bin' / 'python'
        if commit == REPOSITORY or not python.exists():
            return built_program()
        return python


class FaultyMesh(Mesh):
    """A mesh whose control instances have recorded disks."""

    launcher: RecordingLauncher

    def set_faults(self, host: str, **faults: Any) -> None:
        """Replace the faults of the disk and the clock of an instance."""
        disk = self.launcher.disk(host)
        path = disk.with_name(disk.name + FAULTS_SUFFIX)
        partial = path.with_suffix('.partial')
        partial.write_text(json.dumps(faults), 'utf-8')
        partial.replace(path)

    async def end(self, host: str) -> int | None:
        """Kill a process; return its exit code if it had ended by itself."""
        process = self.processes.pop(host, None)
        if process is None:
            # It has ended and is to be started again.
            return None
        code = process.returncode
        if code is None:
            process.send_signal(signal.SIGKILL)
        await process.wait()
        return code

    async def stop(self, host: str) -> int:
        """Stop a process, killed after the grace time; return its exit code."""
        process = self.processes.pop(host, None)
        if process is None:
            # It has ended and is to be started again.
            return 0
        if process.returncode is None:
            process.terminate()
        return await until_ended(process)

    async def end_all(self) -> list[int | None]:
        """Kill all processes at once."""
        return await asyncio.gather(*map(self.end, list(self.processes)))

    def lose_power(self, host: str, random: Random) -> int:
        """Take writes of a killed process back; return how many were open."""
        return RecordedFolder(self.launcher.disk(host)).lose_power(random)

    def wipe(self, host: str) -> None:
        """Remove the disk's content of a killed process."""
        clear(self.launcher.disk(host))


@asynccontextmanager
async def running_faulty_mesh(
    folder: Path,
    launcher: RecordingLauncher | None = None,
) -> AsyncIterator[FaultyMesh]:
    """Yield a mesh without processes; kill its processes at the end."""
    launcher = launcher or RecordingLauncher(folder)
    with reserved_ports() as ports:
        async with ClientSession() as session:
            mesh = FaultyMesh(folder, session, ports, launcher)
            try:
                yield mesh
            finally:
                await mesh.end_all()


async def until_ended(process: asyncio.subprocess.Process) -> int:
    """Wait until a stopped process ends, killed after the grace time."""
    try:
        return await asyncio.wait_for(process.wait(), GRACE_S)
    except TimeoutError:
        process.kill()
        return await process.wait()


def played_commit() -> Path:
    """Return the folder of the commit that is played."""
    return Path(os.environ.get(COMMIT_VARIABLE, REPOSITORY))

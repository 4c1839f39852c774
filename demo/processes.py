"""Starts and stops the processes of the demo."""

import asyncio
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Final

BINARY_FOLDER: Final = Path(sys.executable).parent
STOP_TIMEOUT_S: Final = 12.0


class ProcessGroup:
    """Running processes by name, with their output in files.

    Parameters
    ----------
    folder : Path
        Folder for the output files.
    """

    __slots__ = ('_folder', 'by_name')

    def __init__(self, folder: Path) -> None:
        """Initialise without processes."""
        self._folder = folder
        self.by_name: dict[str, asyncio.subprocess.Process] = {}

    async def start_daemon(self, settings: Path) -> None:
        """Start ``mustardspurd`` with a settings file."""
        await self._start([str(BINARY_FOLDER / 'mustardspurd')], settings)

    async def start_target(self, settings: Path) -> None:
        """Start a stand-in target with a settings file."""
        await self._start([sys.executable, '-m', 'demo.target'], settings)

    async def stop(self, name: str) -> int:
        """Send SIGTERM, wait for the end and return the exit code.

        A process that still runs after STOP_TIMEOUT_S is killed.
        """
        process = self.by_name.pop(name)
        if process.returncode is None:
            process.terminate()
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await process.wait()
        except TimeoutError:
            process.kill()
            return await process.wait()

    async def kill(self, name: str) -> None:
        """Send SIGKILL to a process and wait for its end."""
        process = self.by_name.pop(name)
        process.kill()
        await process.wait()

    async def stop_all(self) -> dict[str, int]:
        """Stop every process and return the exit codes by name."""
        names = list(self.by_name)
        codes = await asyncio.gather(*(self.stop(name) for name in names))
        return dict(zip(names, codes, strict=True))

    async def _start(self, program: list[str], settings: Path) -> None:
        name = settings.stem
        self._folder.mkdir(parents=True, exist_ok=True)
        with (self._folder / f'{name}.log').open('ab') as output:
            self.by_name[name] = await asyncio.create_subprocess_exec(
                *program,
                '--settings',
                str(settings),
                stdout=output,
                stderr=output,
            )


@asynccontextmanager
async def process_group(folder: Path) -> AsyncIterator[ProcessGroup]:
    """Yield a process group; stop its processes at the end of the block."""
    group = ProcessGroup(folder)
    try:
        yield group
    finally:
        await group.stop_all()

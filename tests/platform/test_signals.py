"""Tests of signals at any time in the life of a process."""

import asyncio
import json
import os
import signal
import time
from asyncio.subprocess import Process
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

import pytest

from tests.platform.mesh_processes import (
    HANG_LIMIT_S,
    Mesh,
    running_mesh,
    until_sighup_harmless,
)

_HOST = '127.0.7.21'
_POLL_S = 0.002
# Time after a start in which Python and the modules of a process are loaded.
_START_S = 0.2
_SIGNAL_INTERVAL_S = 0.001
# Start command of a supervisor that ignores SIGHUP for its processes.
_SUPERVISOR = ('env', '--ignore-signal=HUP')
# Imported by the module `site`, before the first line of the program unless
# the start command says otherwise.
_SIGNAL_IN_SITE = """
import os
import signal

os.kill(os.getpid(), signal.SIGHUP)
"""


@pytest.fixture(autouse=True)
def default_action() -> Iterator[None]:
    """Let processes start with the default action of SIGHUP.

    They would inherit that it is ignored, as `nohup` does for the tests.
    """
    former = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    yield
    signal.signal(signal.SIGHUP, former)


async def _signal_while_starting(process: Process) -> None:
    until_s = time.monotonic() + _START_S
    while time.monotonic() < until_s and process.returncode is None:
        process.send_signal(signal.SIGHUP)
        await asyncio.sleep(_SIGNAL_INTERVAL_S)


async def _until_logged_again(mesh: Mesh, event: str, count: int) -> None:
    """Wait until a running process has logged an event so many times."""
    log = mesh.folder / f'{_HOST}.log'
    async with asyncio.timeout(HANG_LIMIT_S):
        while log.read_text('utf-8').count(event) < count:
            assert mesh.processes[_HOST].returncode is None
            await asyncio.sleep(_POLL_S)


async def _change_is_applied(mesh: Mesh) -> None:
    """Change the settings of a running process, which reloads them."""
    await _until_logged_again(mesh, '"started"', 1)
    log = mesh.folder / f'{_HOST}.log'
    former = log.read_text('utf-8').count('settings reloaded')
    path = mesh.folder / f'{_HOST}.json'
    document = json.loads(path.read_text('utf-8'))
    document['mesh']['seeds'] = []
    path.write_text(json.dumps(document), 'utf-8')
    await _until_logged_again(mesh, 'settings reloaded', former + 1)


async def _until_loop_is_imported(process: Process) -> None:
    """Wait until a process has read its settings and makes its event loop."""
    path = Path('/proc', str(process.pid), 'maps')
    async with asyncio.timeout(HANG_LIMIT_S):
        while 'uvloop' not in path.read_text('utf-8'):
            await asyncio.sleep(_POLL_S)


async def _until_stop_is_handled(process: Process) -> None:
    """Wait until a process handles SIGTERM; before, it has nothing to end."""
    path = Path('/proc', str(process.pid), 'status')
    handled = 0
    async with asyncio.timeout(HANG_LIMIT_S):
        while not handled & (1 << (signal.SIGTERM - 1)):
            await asyncio.sleep(_POLL_S)
            _, _, rest = path.read_text('utf-8').partition('SigCgt:')
            handled = int(rest.split()[0], base=16)


async def _start(mesh: Mesh, role: str) -> Process:
    if role == 'node':
        await mesh.start_node(_HOST)
    else:
        await mesh.start_control(_HOST, first_start=True)
    return mesh.processes[_HOST]


@pytest.mark.parametrize('role', ['node', 'control'])
@pytest.mark.parametrize(
    'supervisor',
    [
        pytest.param((), id='deployed'),
        pytest.param(_SUPERVISOR, id='supervised'),
    ],
)
async def test_sighup_from_the_first_millisecond(
    role: str,
    supervisor: tuple[str, ...],
    tmp_path: Path,
) -> None:
    """Guards against a SIGHUP that ends a process before its first line."""
    async with running_mesh(tmp_path) as mesh:
        mesh.launcher.supervisor = supervisor
        process = await _start(mesh, role)
        if supervisor:
            # Until it has run, the signal ends the supervisor's own command.
            await until_sighup_harmless(process.pid)
        await _signal_while_starting(process)
        assert process.returncode is None
        await _change_is_applied(mesh)
        assert process.returncode is None


@pytest.mark.parametrize('role', ['node', 'control'])
async def test_sighup_while_python_reads_its_folders(
    role: str,
    tmp_path: Path,
) -> None:
    """Guards against a SIGHUP that ends a process while Python reads its
    folders of modules, before the program runs.
    """
    (tmp_path / 'sitecustomize.py').write_text(_SIGNAL_IN_SITE, 'utf-8')
    async with running_mesh(tmp_path) as mesh:
        mesh.launcher.python_path = (str(tmp_path), *mesh.launcher.python_path)
        await _start(mesh, role)
        await _change_is_applied(mesh)


@pytest.mark.parametrize('role', ['node', 'control'])
@pytest.mark.parametrize('signals', [0, 1])
async def test_change_at_the_start_is_applied(
    role: str,
    signals: int,
    tmp_path: Path,
) -> None:
    """Guards against a SIGHUP that ends a process which is starting, and
    against a change of the settings meanwhile that is never applied.
    """
    async with running_mesh(tmp_path) as mesh:
        process = await _start(mesh, role)
        await _until_loop_is_imported(process)
        path = tmp_path / f'{_HOST}.json'
        document = json.loads(path.read_text('utf-8'))
        document['mesh']['seeds'] = []
        path.write_text(json.dumps(document), 'utf-8')
        for _ in range(signals):
            process.send_signal(signal.SIGHUP)
        await mesh.until_logged(_HOST, 'settings reloaded')
        assert process.returncode is None


@pytest.mark.parametrize('role', ['node', 'control'])
async def test_signals_at_the_end_do_not_harm(
    role: str,
    tmp_path: Path,
) -> None:
    """Guards against a SIGHUP, or a second SIGTERM, that ends a process before
    it has stopped.
    """
    async with running_mesh(tmp_path) as mesh:
        process = await _start(mesh, role)
        await _until_stop_is_handled(process)
        stopping = asyncio.create_task(mesh.stop(_HOST))
        await mesh.until_logged(_HOST, 'stopping')
        os.kill(process.pid, signal.SIGTERM)
        while not stopping.done():
            # `send_signal` would take the exit code from `stop`.
            with suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGHUP)
            await asyncio.sleep(_POLL_S)
        assert await stopping == 0

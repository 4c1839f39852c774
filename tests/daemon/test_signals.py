"""Tests of signals at any time in the life of a daemon."""

import asyncio
import json
import os
import signal
from asyncio.subprocess import Process
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any, Final

import pytest

from tests.daemon.processes import (
    HANG_LIMIT_S,
    control_document,
    node_document,
    running_daemon,
)
from tests.daemon.test_mesh import mesh_documents
from tests.support.built_program import built_program
from tests.support.ports import free_address

_POLL_S: Final = 0.002
_SIGHUPS: Final = 5
# Imported by the module `site`, before the first line of the daemon.
_SIGNAL_IN_SITE: Final = """
import os
import signal

os.kill(os.getpid(), signal.SIGHUP)
"""
_NAMES: Final = ('control', 'node', 'mesh-control', 'mesh-node')
# What a change of the settings is answered with, with and without a mesh.
_ANSWERS: Final = ('settings not reloaded', 'settings reloaded')


@pytest.fixture(autouse=True)
def default_action() -> Iterator[None]:
    """Let processes start with the default action of SIGHUP.

    They would inherit that it is ignored, as `nohup` does for the tests.
    """
    former = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    yield
    signal.signal(signal.SIGHUP, former)


def _document(folder: Path, name: str) -> dict[str, Any]:
    if name == 'control':
        return control_document(folder)
    if name == 'node':
        return node_document(folder, free_address())
    control, node = mesh_documents(folder, free_address())
    return control if name == 'mesh-control' else node


async def _until_logged(process: Process, log: Path, event: str) -> None:
    async with asyncio.timeout(HANG_LIMIT_S):
        while event not in log.read_text('utf-8'):
            assert process.returncode is None
            await asyncio.sleep(_POLL_S)


async def _until_mapped(process: Process, library: str) -> None:
    """Wait until a process has loaded a library."""
    path = Path('/proc', str(process.pid), 'maps')
    async with asyncio.timeout(HANG_LIMIT_S):
        while library not in path.read_text('utf-8'):
            await asyncio.sleep(_POLL_S)


def _change(folder: Path, document: dict[str, Any]) -> None:
    changed = {**document, 'log_level': 'debug'}
    path = folder / f'{document["id"]}.json'
    path.write_text(json.dumps(changed), 'utf-8')


@pytest.mark.parametrize('name', _NAMES)
async def test_sighup_does_not_end_a_daemon(tmp_path: Path, name: str) -> None:
    """Guards against a SIGHUP that ends a daemon, and a change of its settings
    that is neither applied nor refused.
    """
    document = _document(tmp_path, name)
    log = tmp_path / 'log'
    async with running_daemon(tmp_path, document, log) as process:
        await _until_logged(process, log, '"started"')
        _change(tmp_path, document)
        for _ in range(_SIGHUPS):
            process.send_signal(signal.SIGHUP)
        await _until_logged(process, log, _ANSWERS['mesh' in document])
        process.terminate()
        assert await process.wait() == 0


@pytest.mark.parametrize('name', _NAMES)
@pytest.mark.parametrize('library', ['_asyncio', 'uvloop'])
async def test_sighup_at_the_start_does_not_end_a_daemon(
    tmp_path: Path,
    name: str,
    library: str,
) -> None:
    """Guards against a SIGHUP that ends a daemon while it starts."""
    document = _document(tmp_path, name)
    log = tmp_path / 'log'
    async with running_daemon(tmp_path, document, log) as process:
        await _until_mapped(process, library)
        process.send_signal(signal.SIGHUP)
        await _until_logged(process, log, '"started"')
        process.terminate()
        assert await process.wait() == 0


@pytest.mark.parametrize('name', _NAMES)
async def test_sighup_while_python_reads_its_folders(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    name: str,
) -> None:
    """Guards against a SIGHUP that ends a daemon before its first line,
    although it is started by the program that ignores the signal.
    """
    (tmp_path / 'sitecustomize.py').write_text(_SIGNAL_IN_SITE, 'utf-8')
    monkeypatch.setenv('PYTHONPATH', str(tmp_path))
    document = _document(tmp_path, name)
    log = tmp_path / 'log'
    command = (str(built_program()), '-P', '-m', 'mustardspur_daemon')
    async with running_daemon(tmp_path, document, log, command) as process:
        await _until_logged(process, log, '"started"')
        process.terminate()
        assert await process.wait() == 0


@pytest.mark.parametrize('name', _NAMES)
async def test_signals_at_the_end_do_not_harm(
    tmp_path: Path, name: str
) -> None:
    """Guards against signals that end a daemon before it has stopped."""
    document = _document(tmp_path, name)
    log = tmp_path / 'log'
    async with running_daemon(tmp_path, document, log) as process:
        await _until_logged(process, log, '"started"')
        process.terminate()
        waiting = asyncio.create_task(process.wait())
        while not waiting.done():
            # `send_signal` would take the exit code from `wait`.
            with suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGTERM)
                os.kill(process.pid, signal.SIGHUP)
            await asyncio.sleep(_POLL_S)
        assert await waiting == 0

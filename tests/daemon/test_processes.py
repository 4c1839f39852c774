"""Tests of daemon processes: resources, signals and start errors."""

import signal
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from tests.daemon.processes import (
    answer_of,
    control_document,
    node_document,
    running_daemon,
)
from tests.support.ports import free_address

Document = dict[str, Any]
READY_PATH = '/mustardspur/v1/ready'


def _descriptors(process_id: int) -> list[str]:
    names: list[str] = []
    for link in Path(f'/proc/{process_id}/fd').iterdir():
        # The process may close a descriptor while they are listed.
        with suppress(FileNotFoundError):
            names.append(str(link.readlink()))
    return names


def _children(process_id: int) -> list[str]:
    tasks = Path(f'/proc/{process_id}/task').iterdir()
    return [
        child
        for task in tasks
        for child in (task / 'children').read_text().split()
    ]


def _shared_mappings(process_id: int) -> list[str]:
    lines = Path(f'/proc/{process_id}/maps').read_text().splitlines()
    # The C library maps a file of its own as shared but read-only.
    return [line for line in lines if line.split()[1].startswith('rw-s')]


def _document(folder: Path, role: str) -> Document:
    if role == 'control':
        return control_document(folder)
    return node_document(folder, free_address())


async def _until_serving(document: Document) -> None:
    path = '/v1/status' if document['role'] == 'control' else READY_PATH
    address = document['listen']['http']
    await answer_of(f'http://{address}{path}')


@pytest.mark.parametrize('role', ['control', 'node'])
async def test_process_uses_only_what_is_allowed(
    tmp_path: Path,
    role: str,
) -> None:
    """Guards against io_uring, shared memory and child processes.

    The platform allows none of them.
    """
    document = _document(tmp_path, role)
    async with running_daemon(tmp_path, document) as process:
        await _until_serving(document)
        opened = _descriptors(process.pid)
        assert any('eventpoll' in name for name in opened)
        assert not any('io_uring' in name for name in opened)
        assert not any('/dev/shm' in name for name in opened)
        assert not _shared_mappings(process.pid)
        assert not _children(process.pid)


@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize('role', ['control', 'node'])
async def test_signal_stops_cleanly(
    tmp_path: Path,
    role: str,
    number: signal.Signals,
) -> None:
    """Guards against a non-zero exit code or a traceback on a stop signal."""
    document = _document(tmp_path, role)
    async with running_daemon(tmp_path, document) as process:
        await _until_serving(document)
        process.send_signal(number)
        lines, errors = await process.communicate()
    assert process.returncode == 0
    assert b'Traceback' not in lines + errors


async def test_taken_port_is_reported(tmp_path: Path) -> None:
    """Guards against a port conflict that is not reported."""
    document = control_document(tmp_path)
    second = {**document, 'id': 'c2', 'data_dir': str(tmp_path / 'c2')}
    second['peers'] = [{**document['peers'][0], 'id': 'c2'}]
    async with running_daemon(tmp_path, document):
        await _until_serving(document)
        async with running_daemon(tmp_path, second) as process:
            lines, _ = await process.communicate()
    assert process.returncode == 3
    assert b'taken by another process' in lines


async def test_unwritable_folder_is_reported(tmp_path: Path) -> None:
    """Guards against a traceback for an unusable data folder."""
    blocked = tmp_path / 'file'
    blocked.write_text('')
    document = {**control_document(tmp_path), 'data_dir': str(blocked)}
    async with running_daemon(tmp_path, document) as process:
        lines, _ = await process.communicate()
    assert process.returncode == 3
    assert b'not a usable folder' in lines


async def test_node_without_control_says_not_run(tmp_path: Path) -> None:
    """Guards against calls forwarded by a node without configuration."""
    document = node_document(tmp_path, free_address())
    address = document['listen']['http']
    async with running_daemon(tmp_path, document):
        ready = await answer_of(f'http://{address}{READY_PATH}')
        refusal = await answer_of(f'http://{address}/drafts/1')
    assert ready['ready'] is False
    assert refusal['outcome'] == 'not-run'

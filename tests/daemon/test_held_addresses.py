"""Tests of starts of the daemon at an address that is taken."""

import asyncio
import socket
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import pytest

from tests.daemon.processes import (
    HANG_LIMIT_S,
    POLL_S,
    control_document,
    node_document,
    running_daemon,
)
from tests.daemon.test_mesh import mesh_documents
from tests.support.ports import free_address

_TARGET = '127.0.0.1:9'


def _document(folder: Path, kind: str) -> dict[str, Any]:
    return {
        'control': control_document(folder),
        'node': node_document(folder, free_address()),
        'mesh control': mesh_documents(folder, _TARGET)[0],
        'mesh node': mesh_documents(folder, _TARGET)[1],
    }[kind]


@pytest.mark.parametrize(
    ('kind', 'port'),
    [
        ('control', 'stream'),
        ('node', 'http'),
        ('mesh control', 'http'),
        ('mesh node', 'ready'),
    ],
)
async def test_start_waits_for_its_address(
    kind: str,
    port: str,
    tmp_path: Path,
) -> None:
    """Guards against a daemon that ends as its address is taken for a while."""
    document = _document(tmp_path, kind)
    log = tmp_path / 'log'
    host, _, number = document['listen'][port].rpartition(':')
    async with asyncio.timeout(HANG_LIMIT_S), AsyncExitStack() as stack:
        with socket.create_server((host, int(number))):
            process = await stack.enter_async_context(
                running_daemon(tmp_path, document, log),
            )
            await _until_logged(process, log, 'start waits')
        await _until_logged(process, log, '"started"')


async def _until_logged(
    process: asyncio.subprocess.Process,
    log: Path,
    message: str,
) -> None:
    while message not in log.read_text('utf-8'):
        assert process.returncode is None
        await asyncio.sleep(POLL_S)

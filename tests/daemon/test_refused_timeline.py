"""Tests of daemons whose timeline cannot be written."""

import asyncio
from pathlib import Path

import pytest

from tests.daemon.processes import (
    HANG_LIMIT_S,
    POLL_S,
    control_document,
    running_daemon,
)
from tests.daemon.test_mesh import mesh_documents

# Refuses each write as a full disk does.
_FULL = '/dev/full'
_TARGET = '127.0.0.1:9'


@pytest.mark.parametrize('kind', ['alone', 'mesh'])
async def test_full_disk_of_the_timeline_ends_nothing(
    kind: str,
    tmp_path: Path,
) -> None:
    """Guards against a daemon that ends, or leads no more, as the disk of its
    timeline is full.
    """
    documents = {
        'alone': control_document(tmp_path),
        'mesh': mesh_documents(tmp_path, _TARGET)[0],
    }
    document = documents[kind] | {'timeline': _FULL}
    log = tmp_path / 'log'
    async with asyncio.timeout(HANG_LIMIT_S):
        async with running_daemon(tmp_path, document, log) as process:
            await _until_logged(process, log, 'time line not written')
            await _until_logged(process, log, '"started"')
            process.terminate()
            assert await process.wait() == 0
    assert 'Traceback' not in log.read_text('utf-8')


async def _until_logged(
    process: asyncio.subprocess.Process,
    log: Path,
    message: str,
) -> None:
    while message not in log.read_text('utf-8'):
        assert process.returncode is None
        await asyncio.sleep(POLL_S)

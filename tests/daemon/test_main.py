"""Tests of the command line and the error reports of the daemon."""

import asyncio
import errno
import json
import os
from pathlib import Path

import pytest
from mustardspur_daemon.exit_codes import ExitCode
from mustardspur_daemon.main import main
from mustardspur_daemon.starting import describe_os_error

from tests.daemon.processes import (
    BINARY,
    HANG_LIMIT_S,
    POLL_S,
    node_document,
)
from tests.support.ports import free_address

BAD_NODE = '{"role": "node", "id": "", "listen": {}}'


def test_bad_settings_start_nothing(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a start with invalid settings."""
    path = tmp_path / 'bad.json'
    path.write_text(BAD_NODE)
    assert main(['--settings', str(path)]) == ExitCode.BAD_SETTINGS
    reported = capsys.readouterr().err
    for expected in ('$.id', '$.listen', 'data_centre', 'region'):
        assert expected in reported


def test_check_starts_nothing(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a start of the process by --check."""
    path = tmp_path / 'node.json'
    path.write_text(
        json.dumps(
            {
                'role': 'node',
                'id': 'n1',
                'data_centre': 'split-a',
                'region': 'dalmacija',
                'listen': {'http': '127.0.0.1:1'},
                'control': ['127.0.0.1:2'],
                'service': 'forms',
            }
        ),
    )
    assert main(['--settings', str(path), '--check']) == ExitCode.STOPPED
    assert 'no findings' in capsys.readouterr().out


async def test_settings_written_at_the_start_end_no_daemon(
    tmp_path: Path,
) -> None:
    """Guards against a daemon that ends as it reads a part of its settings."""
    path = tmp_path / 'n1.json'
    valid = json.dumps(node_document(tmp_path, free_address()))
    path.write_text(valid[: len(valid) // 2])
    process = await asyncio.create_subprocess_exec(
        str(BINARY), '--settings', str(path), stderr=asyncio.subprocess.PIPE
    )
    assert process.stderr is not None
    assert b'settings are read again' in await process.stderr.readline()
    path.write_text(valid)
    timeline = tmp_path / 'n1.jsonl'
    async with asyncio.timeout(HANG_LIMIT_S):
        while not (timeline.exists() and 'started' in timeline.read_text()):
            assert process.returncode is None
            await asyncio.sleep(POLL_S)
    process.terminate()
    await process.communicate()
    assert process.returncode == 0


@pytest.mark.parametrize(
    ('number', 'text'),
    [
        (errno.EADDRINUSE, 'taken by another process'),
        (errno.EADDRNOTAVAIL, 'not on this instance'),
        (errno.EACCES, 'no permission'),
        (errno.ENOTDIR, 'not a usable folder'),
        (errno.ENOSPC, 'disk is full'),
        (errno.EIO, os.strerror(errno.EIO)),
    ],
)
def test_errors_are_explained(number: int, text: str) -> None:
    """Guards against a report without a description of the error."""
    assert text in describe_os_error(OSError(number, os.strerror(number)))

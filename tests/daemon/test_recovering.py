"""Tests of the recovery of a control instance as the only voter."""

import json
import os
from pathlib import Path
from typing import Any

import pytest
from mustardspur_core.data_folder import hold_data_folder
from mustardspur_core.start_wait import StartWait
from mustardspur_daemon.exit_codes import ExitCode
from mustardspur_daemon.main import main

from tests.daemon.processes import (
    answer_of,
    control_document,
    node_document,
    running_daemon,
)
from tests.support.ports import free_address


def _recover(folder: Path, document: dict[str, Any]) -> int:
    path = folder / 'recover.json'
    path.write_text(json.dumps(document))
    return main(['--settings', str(path), '--recover-alone'])


async def test_running_instance_is_left_alone(tmp_path: Path) -> None:
    """Guards against a recovery that writes the log of a running instance."""
    document = control_document(tmp_path)
    address = document['listen']['http']
    async with running_daemon(tmp_path, document):
        await answer_of(f'http://{address}/v1/status')
        assert _recover(tmp_path, document) == ExitCode.CANNOT_START
    assert _recover(tmp_path, document) == ExitCode.STOPPED


async def test_instance_without_listeners_is_left_alone(
    tmp_path: Path,
) -> None:
    """Guards against a recovery that writes the log of an instance which has
    freed its addresses and not ended yet.
    """
    document = control_document(tmp_path)
    address = document['listen']['http']
    async with running_daemon(tmp_path, document):
        await answer_of(f'http://{address}/v1/status')
    held = hold_data_folder(Path(document['data_dir']), StartWait(0))
    assert _recover(tmp_path, document) == ExitCode.CANNOT_START
    os.close(held)
    assert _recover(tmp_path, document) == ExitCode.STOPPED


def test_node_and_empty_instance_are_refused(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a recovery without a log."""
    node = node_document(tmp_path, free_address())
    assert _recover(tmp_path, node) == ExitCode.BAD_SETTINGS
    empty = control_document(tmp_path)
    assert _recover(tmp_path, empty) == ExitCode.CANNOT_START
    assert 'files are new' in capsys.readouterr().err

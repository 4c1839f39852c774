"""Tests of the data folder of a process."""

import errno
import os
from functools import partial
from pathlib import Path

import pytest
from mustardspur_core.data_folder import hold_data_folder
from mustardspur_core.start_wait import StartWait


def test_missing_folder_is_created(tmp_path: Path) -> None:
    """Guards against a first start that waits for a folder it can create."""
    folder = tmp_path / 'upper' / 'data'
    os.close(hold_data_folder(folder, StartWait(0)))
    assert folder.is_dir()


def test_folder_has_one_process(tmp_path: Path) -> None:
    """Guards against two processes that write to one folder."""
    descriptor = hold_data_folder(tmp_path, StartWait(0))
    with pytest.raises(BlockingIOError):
        hold_data_folder(tmp_path, StartWait(0))
    os.close(descriptor)
    os.close(hold_data_folder(tmp_path, StartWait(0)))


def test_file_in_its_place_is_reported_at_once(tmp_path: Path) -> None:
    """Guards against a wait for something that no time brings."""
    path = tmp_path / 'file'
    path.write_text('')
    for folder in (path, path / 'data'):
        with pytest.raises(NotADirectoryError):
            hold_data_folder(folder, StartWait(60))


@pytest.mark.parametrize('number', [errno.EACCES, errno.EROFS, errno.EIO])
def test_start_waits_for_a_mount(
    number: int,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a process that ends as its folder is not mounted yet or
    is mounted read-only for a moment.
    """
    errors = [OSError(number, os.strerror(number))]
    monkeypatch.setattr(
        'mustardspur_core.data_folder.make_folder_synced',
        partial(_raise_each, errors),
    )
    os.close(hold_data_folder(tmp_path, StartWait(60)))


def test_folder_without_locks_is_used(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a process that cannot use a file system without locks."""
    errors = [OSError(errno.ENOLCK, os.strerror(errno.ENOLCK))]
    monkeypatch.setattr('fcntl.flock', partial(_raise_each, errors))
    os.close(hold_data_folder(tmp_path, StartWait(0)))


def _raise_each(errors: list[OSError], *_: object) -> None:
    """Raise the next error; do nothing once there are none."""
    if errors:
        raise errors.pop()

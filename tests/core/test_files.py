"""Guards against files and folders that a loss of power takes back."""

import os
from pathlib import Path

import pytest
from mustardspur_core.files import make_folder_synced

Calls = list[tuple[str, Path]]


class _Recorder:
    """Records the folders that are created and synced, in order."""

    def __init__(self) -> None:
        self.calls: Calls = []
        self._sync = os.fsync
        self._create = os.mkdir

    def sync(self, descriptor: int) -> None:
        path = Path(os.readlink(f'/proc/self/fd/{descriptor}'))
        self.calls.append(('sync', path))
        self._sync(descriptor)

    def create(self, path: Path, mode: int = 0o777) -> None:
        self.calls.append(('create', path))
        self._create(path, mode)


@pytest.fixture
def calls(monkeypatch: pytest.MonkeyPatch) -> Calls:
    """Return the folders that are created and synced, in order."""
    recorder = _Recorder()
    monkeypatch.setattr(os, 'fsync', recorder.sync)
    monkeypatch.setattr(os, 'mkdir', recorder.create)
    return recorder.calls


def test_created_folders_survive_a_power_loss(
    tmp_path: Path,
    calls: Calls,
) -> None:
    """Guards against the loss of a data folder that the process created, as
    its name or that of one above it was not synced.
    """
    make_folder_synced(tmp_path / 'a' / 'b')
    assert calls == [
        ('sync', tmp_path.parent),
        ('create', tmp_path / 'a'),
        ('sync', tmp_path),
        ('create', tmp_path / 'a' / 'b'),
        ('sync', tmp_path / 'a'),
    ]


def test_folder_of_a_killed_process_is_synced(
    tmp_path: Path,
    calls: Calls,
) -> None:
    """Guards against the loss of a folder whose creator was killed before it
    had synced the name.
    """
    (tmp_path / 'a').mkdir()
    calls.clear()
    make_folder_synced(tmp_path / 'a')
    assert calls == [('sync', tmp_path)]

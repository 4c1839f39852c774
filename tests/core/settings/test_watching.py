"""Tests of the watch of a settings file."""

import asyncio
import json
import signal
from collections.abc import Iterator
from pathlib import Path

import pytest
from mustardspur_core.settings import Settings, SettingsFile, watching_settings


class _UnexpectedError(Exception):
    """Failure while settings are applied in these tests."""


class _FailingApplication:
    """Fails to apply settings, and records that it was to."""

    def __init__(self) -> None:
        """Initialise without settings."""
        self.applied: list[str] = []
        self.applied_twice = asyncio.Event()

    def apply(self, settings: Settings) -> None:
        """Fail to apply settings."""
        self.applied.append(settings.id)
        if len(self.applied) > 1:
            self.applied_twice.set()
        raise _UnexpectedError


@pytest.fixture(autouse=True)
def _action_of_sighup() -> Iterator[None]:
    before = signal.getsignal(signal.SIGHUP)
    yield
    signal.signal(signal.SIGHUP, before)


def _settings_file(folder: Path) -> SettingsFile:
    path = folder / 'control.json'
    document = {
        'role': 'control',
        'id': '127.0.0.1',
        'data_centre': 'split-a',
        'region': 'dalmacija',
        'data_dir': str(folder),
        'peers': [],
        'listen': {'stream': '127.0.0.1:7001', 'http': '127.0.0.1:7002'},
        'mesh': {'seeds': ['127.0.0.1:7002'], 'first_start': True},
    }
    path.write_text(json.dumps(document), 'utf-8')
    return SettingsFile(path)


async def test_settings_that_fail_end_no_process(tmp_path: Path) -> None:
    """Guards against a process that ends as an unexpected error, for example
    of too little memory, stops the watch of its settings.
    """
    settings_file = _settings_file(tmp_path)
    assert settings_file.load().is_ok()
    settings_file.forget()
    failing = _FailingApplication()
    async with (
        asyncio.timeout(30),
        watching_settings(settings_file, failing.apply),
    ):
        await failing.applied_twice.wait()
    assert failing.applied[:2] == ['127.0.0.1', '127.0.0.1']

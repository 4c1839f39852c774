"""Reloading of settings that change while a process runs."""

import asyncio
import logging
import signal
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Final

from expression import Result

from mustardspur_core.event_loop import handle_signal, ignore_signal
from mustardspur_core.findings import Findings
from mustardspur_core.settings.loading import load_settings
from mustardspur_core.settings.model import Settings
from mustardspur_core.tasks import background, supervised

_LOG: Final = logging.getLogger(__name__)

# The file can change without a signal; a check costs one system call.
POLL_INTERVAL_S: Final = 1.0
# Longest time for which a file that cannot be used is read again at a start.
SETTLE_S: Final = 1.0
_RETRY_S: Final = 0.05

ApplySettings = Callable[[Settings], None]


class SettingsFile:
    """A settings file and the version of it that was loaded last.

    Parameters
    ----------
    path : Path
        The JSON file.
    """

    __slots__ = ('_loaded_version', '_path')

    def __init__(self, path: Path) -> None:
        """Initialise without loading the file."""
        self._path = path
        self._loaded_version = (0, 0)

    @property
    def has_changed(self) -> bool:
        """Whether the file has changed since it was loaded."""
        return self._version() != self._loaded_version

    def load(self) -> Result[Settings, Findings]:
        """Load and validate the file, see `load_settings`."""
        # Read first, so that a change during the load is noticed.
        self._loaded_version = self._version()
        return load_settings(self._path)

    def forget(self) -> None:
        """Have the file count as changed, since it could not be used."""
        self._loaded_version = (0, 0)

    def load_settled(self) -> Result[Settings, Findings]:
        """Load the file as `load`, again for `SETTLE_S` if it has findings.

        A process that starts while its file is written reads only a part.
        """
        latest_s = time.monotonic() + SETTLE_S
        loaded = self.load()
        if loaded.is_error():
            _LOG.warning('settings are read again')
        while loaded.is_error() and time.monotonic() < latest_s:
            time.sleep(_RETRY_S)
            loaded = self.load()
        return loaded

    def _version(self) -> tuple[int, int]:
        try:
            status = self._path.stat()
        except OSError as error:
            _LOG.warning(
                'cannot read the settings file',
                extra={'reason': str(error)},
            )
            return 0, 0
        return status.st_mtime_ns, status.st_size


class SettingsWatch:
    """Reloads a settings file when it changes or on SIGHUP.

    Explanation
    ===========

    If the file has findings, they are logged, the settings in force stay, and
    the file is read again at each check.

    Parameters
    ----------
    settings_file : SettingsFile
        The settings file, as it was loaded at the start.
    apply_settings : callable
        Called with the new settings.
    """

    __slots__ = ('_apply_settings', '_reported', '_settings_file')

    def __init__(
        self, settings_file: SettingsFile, apply_settings: ApplySettings
    ) -> None:
        """Initialise with the settings in force."""
        self._settings_file = settings_file
        self._apply_settings = apply_settings
        # Why the settings could not be reloaded last.
        self._reported = ''

    async def run(self) -> None:
        """Check the file for changes periodically until cancelled.

        The first check finds what changed while the process started.
        """
        while True:
            if self._settings_file.has_changed:
                self._load()
            await asyncio.sleep(POLL_INTERVAL_S)

    def reload(self) -> None:
        """Load the file and apply its settings; report also a known reason."""
        self._reported = ''
        self._load()

    def _load(self) -> None:
        loaded = self._settings_file.load()
        if loaded.is_error():
            # It can be the process that cannot open a file now.
            self._settings_file.forget()
            self._report(str(loaded.error))
            return
        self._reported = ''
        self._apply(loaded.ok)
        _LOG.info('settings reloaded')

    def _apply(self, settings: Settings) -> None:
        try:
            self._apply_settings(settings)
        except Exception:
            self._settings_file.forget()
            raise

    def _report(self, reason: str) -> None:
        if reason != self._reported:
            self._reported = reason
            _LOG.error('settings not reloaded', extra={'reason': reason})


@asynccontextmanager
async def watching_settings(
    settings_file: SettingsFile,
    apply_settings: ApplySettings,
) -> AsyncIterator[None]:
    """Apply changes of a settings file while the context is active."""
    watch = SettingsWatch(settings_file, apply_settings)
    handle_signal(signal.SIGHUP, watch.reload)
    try:
        async with background(supervised('settings', watch.run)):
            yield
    finally:
        ignore_signal(signal.SIGHUP)


@asynccontextmanager
async def refusing_reloads() -> AsyncIterator[None]:
    """Log on SIGHUP that the settings are not reloaded, and go on."""
    handle_signal(signal.SIGHUP, _refuse)
    try:
        yield
    finally:
        ignore_signal(signal.SIGHUP)


def _refuse() -> None:
    _LOG.warning(
        'settings not reloaded',
        extra={'reason': 'settings without a mesh are read at the start only'},
    )

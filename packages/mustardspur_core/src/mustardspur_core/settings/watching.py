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

from mustardspur_core.event_loop import (
    ended_by_stop_signals,
    handle_signal,
    ignore_signal,
)
from mustardspur_core.findings import Findings
from mustardspur_core.settings.loading import load_settings
from mustardspur_core.settings.model import Settings
from mustardspur_core.tasks import background, supervised

_LOG: Final = logging.getLogger(__name__)

# The file can change without a signal; a check costs one system call.
POLL_INTERVAL_S: Final = 1.0
# Longest time for which a file with findings is read again at a start.
SETTLE_S: Final = 1.0
# The same for a file that is missing or cannot be read: its folder may be
# mounted, or the file placed, some seconds after the start.
MISSING_S: Final = 10.0
_RETRY_S: Final = 0.05

ApplySettings = Callable[[Settings], None]


class SettingsFile:
    """A settings file and the version of it that was loaded last.

    Parameters
    ----------
    path : Path
        The JSON file.
    """

    __slots__ = ('_loaded_version', '_logged_reason', '_path')

    def __init__(self, path: Path) -> None:
        """Initialise without loading the file."""
        self._path = path
        self._loaded_version = (0, 0)
        # Logged once, since the file is read many times.
        self._logged_reason = ''

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
        """Load the file as `load`, and again for a while if it has findings.

        A process that starts while its file is written reads only a part.
        """
        loaded = self.load()
        if loaded.is_error():
            _LOG.warning('settings are read again')
            with ended_by_stop_signals('settings'):
                return self._load_again(loaded)
        return loaded

    def _load_again(
        self,
        loaded: Result[Settings, Findings],
    ) -> Result[Settings, Findings]:
        """Load until there are no findings, at most for the time allowed.

        A file that is found late gets the same time as one that was there.
        """
        started_s = time.monotonic()
        latest_s = started_s + SETTLE_S
        while loaded.is_error() and time.monotonic() < latest_s:
            time.sleep(_RETRY_S)
            loaded = self.load()
            now_s = time.monotonic()
            if now_s - started_s < MISSING_S and not self._is_readable():
                latest_s = now_s + SETTLE_S
        return loaded

    def _is_readable(self) -> bool:
        try:
            self._path.read_bytes()
        except OSError:
            return False
        return True

    def _version(self) -> tuple[int, int]:
        try:
            status = self._path.stat()
        except OSError as error:
            if str(error) != self._logged_reason:
                self._logged_reason = str(error)
                _LOG.warning(
                    'cannot read the settings file',
                    extra={'reason': str(error)},
                )
            return 0, 0
        self._logged_reason = ''
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

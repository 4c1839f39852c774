"""Reloading of settings that change while a process runs."""

import asyncio
import logging
import signal
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Final

from mustardspur_core.settings.loading import load_settings
from mustardspur_core.settings.model import Settings
from mustardspur_core.tasks import background

_LOG: Final = logging.getLogger(__name__)

# The file can change without a signal; a check costs one system call.
POLL_INTERVAL_S: Final = 1.0

ApplySettings = Callable[[Settings], None]


class SettingsWatch:
    """Reloads a settings file when it changes or on SIGHUP.

    Explanation
    ===========

    If the file has findings, they are logged and the settings in force stay.

    Parameters
    ----------
    path : Path
        The settings file.
    apply_settings : callable
        Called with the new settings.
    """

    __slots__ = ('_apply_settings', '_last_version', '_path')

    def __init__(self, path: Path, apply_settings: ApplySettings) -> None:
        """Initialise the watch with the current version of the file."""
        self._path = path
        self._apply_settings = apply_settings
        self._last_version = self._file_version()

    async def run(self) -> None:
        """Check the file for changes periodically until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self._file_version() != self._last_version:
                self.reload()

    def reload(self) -> None:
        """Load the file and apply its settings if they are valid."""
        self._last_version = self._file_version()
        loaded = load_settings(self._path)
        if loaded.is_error():
            _LOG.error(
                'settings not reloaded',
                extra={'reason': str(loaded.error)},
            )
            return
        self._apply_settings(loaded.ok)
        _LOG.info('settings reloaded')

    def _file_version(self) -> tuple[int, int]:
        try:
            status = self._path.stat()
        except OSError as error:
            _LOG.warning(
                'cannot read the settings file',
                extra={'reason': str(error)},
            )
            return 0, 0
        return status.st_mtime_ns, status.st_size


@asynccontextmanager
async def watching_settings(
    path: Path,
    apply_settings: ApplySettings,
) -> AsyncIterator[None]:
    """Apply changes of a settings file while the context is active."""
    watch = SettingsWatch(path, apply_settings)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, watch.reload)
    try:
        async with background(watch.run()):
            yield
    finally:
        loop.remove_signal_handler(signal.SIGHUP)

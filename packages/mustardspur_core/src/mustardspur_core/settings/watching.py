"""Taking over settings that change while a process runs."""

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

# The file can change without a signal; a look at it costs one system call.
LOOK_S: Final = 1.0

TakeOver = Callable[[Settings], None]


class SettingsWatch:
    """Reads a settings file again when it changes or on SIGHUP.

    Explanation
    ===========

    A file with findings is logged and changes nothing.

    Parameters
    ----------
    path : Path
        The file.
    take_over : callable
        Takes the new settings.
    """

    __slots__ = ('_path', '_seen', '_take_over')

    def __init__(self, path: Path, take_over: TakeOver) -> None:
        """Note the state of the file."""
        self._path = path
        self._take_over = take_over
        self._seen = self._stamp()

    async def run(self) -> None:
        """Look at the file at an interval until cancelled."""
        while True:
            await asyncio.sleep(LOOK_S)
            if self._stamp() != self._seen:
                self.reload()

    def reload(self) -> None:
        """Read the file and hand its settings over."""
        self._seen = self._stamp()
        loaded = load_settings(self._path)
        if loaded.is_error():
            _LOG.error(
                'settings not reloaded',
                extra={'reason': str(loaded.error)},
            )
            return
        self._take_over(loaded.ok)
        _LOG.info('settings reloaded')

    def _stamp(self) -> tuple[int, int]:
        try:
            status = self._path.stat()
        except OSError as error:
            _LOG.warning('no settings file', extra={'reason': str(error)})
            return 0, 0
        return status.st_mtime_ns, status.st_size


@asynccontextmanager
async def watching_settings(
    path: Path,
    take_over: TakeOver,
) -> AsyncIterator[None]:
    """Follow changes of a settings file for the length of a block."""
    watch = SettingsWatch(path, take_over)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, watch.reload)
    try:
        async with background(watch.run()):
            yield
    finally:
        loop.remove_signal_handler(signal.SIGHUP)

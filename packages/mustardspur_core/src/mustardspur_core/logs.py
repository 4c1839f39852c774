"""Logs as JSON lines on standard output."""

import logging
import os
import stat
from typing import Final

from pythonjsonlogger.json import JsonFormatter

from mustardspur_core.settings.model import Settings

STDOUT: Final = 1


class NonBlockingHandler(logging.Handler):
    """Writes lines to a descriptor without ever waiting for its reader.

    Explanation
    ===========

    A reader that stops must not stop the process. Lines that the pipe does
    not take are dropped and counted; the next line that fits tells how many.

    Parameters
    ----------
    descriptor : int
        Where to write.
    """

    def __init__(self, descriptor: int) -> None:
        """Make the descriptor non-blocking if it is a pipe.

        The flag belongs to all processes that share the descriptor, so a
        terminal is left as it is; files never block.
        """
        super().__init__()
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._rest = b''
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record's line, or count it as dropped."""
        if self.dropped:
            record.lines_dropped = self.dropped
        line = f'{self.format(record)}\n'.encode()
        try:
            written = os.write(self._descriptor, self._rest + line)
        except BlockingIOError:
            self.dropped += 1
            return
        except OSError:
            # The reader is gone, and there is nowhere else to report it.
            self.dropped += 1
            return
        # The rest of a line that was cut goes out before the next one.
        self._rest = (self._rest + line)[written:]
        self.dropped = 0


def configure_logs(settings: Settings) -> None:
    """Send every log record of the process to standard output as JSON.

    Parameters
    ----------
    settings : Settings
        Settings of the process; the level and the identifiers are used.
    """
    output = NonBlockingHandler(STDOUT)
    output.setFormatter(
        JsonFormatter(
            '%(asctime)s %(levelname)s %(name)s %(message)s',
            rename_fields={'asctime': 'time', 'levelname': 'level'},
            static_fields={
                'process': settings.id,
                'data_centre': settings.data_centre,
            },
        ),
    )
    root = logging.getLogger()
    root.handlers.clear()
    root.addHandler(output)
    root.setLevel(settings.log_level.upper())

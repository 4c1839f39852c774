"""Logs as JSON lines on standard output."""

import json
import logging
import os
import stat
from typing import Any, Final

from pythonjsonlogger.json import JsonFormatter

from mustardspur_core.settings.model import Settings
from mustardspur_core.standard_streams import STDOUT
from mustardspur_core.texts import shorten

# A request identifier or a path of a usual length is logged whole.
MAX_FIELD_CHARS: Final = 1024
# A traceback of 40 to 60 frames.
MAX_TRACEBACK_CHARS: Final = 8192
# Longer lines have their fields cut to `SHORT_FIELD_CHARS`.
MAX_LINE_CHARS: Final = 32_768
SHORT_FIELD_CHARS: Final = 128
_TRACEBACK_FIELDS: Final = frozenset(('exc_info', 'stack_info'))


class BoundedJsonFormatter(JsonFormatter):
    """Formatter of JSON lines of a bounded length.

    Texts of errors can contain what another process has sent, of any length.
    """

    def process_log_record(self, log_data: dict[str, Any]) -> dict[str, Any]:
        """Shorten the texts of a line."""
        for name, logged in log_data.items():
            if isinstance(logged, str) and len(logged) > MAX_FIELD_CHARS:
                is_traceback = name in _TRACEBACK_FIELDS
                log_data[name] = shorten(
                    logged,
                    MAX_TRACEBACK_CHARS if is_traceback else MAX_FIELD_CHARS,
                )
        return log_data

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Return the JSON of a line, with short fields if it is too long."""
        line: str = super().jsonify_log_record(log_data)
        if len(line) <= MAX_LINE_CHARS:
            return line
        short: str = super().jsonify_log_record(
            {name: _short_field(logged) for name, logged in log_data.items()},
        )
        return short


def _short_field(logged: Any) -> Any:
    if logged is None or isinstance(logged, int | float):
        return logged
    text = (
        logged if isinstance(logged, str) else json.dumps(logged, default=str)
    )
    return shorten(text, SHORT_FIELD_CHARS)


class NonBlockingHandler(logging.Handler):
    """Logging handler that writes lines to a descriptor without blocking.

    Explanation
    ===========

    A reader that stops reading must not block the process. Lines that do not
    fit into the pipe are dropped and counted; the next line that is written
    contains their number as ``lines_dropped``.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to.
    """

    def __init__(self, descriptor: int) -> None:
        """Make the descriptor non-blocking if it is a pipe or a socket.

        The flag applies to all processes that share the descriptor, so it is
        not set on a terminal; writes to files do not block.
        """
        super().__init__()
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._unwritten = b''
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write the line of a record, or count it as dropped.

        No error is raised: the task that logs would fail for its line, and a
        failed task is reported by a line. The pipe can be full or closed, the
        disk full, and the memory exhausted as the line is formatted.
        """
        if self.dropped:
            record.lines_dropped = self.dropped
        try:
            self._write(record)
        except Exception:
            self.dropped += 1
        else:
            self.dropped = 0

    def _write(self, record: logging.LogRecord) -> None:
        line = self._unwritten + f'{self.format(record)}\n'.encode()
        written = os.write(self._descriptor, line)
        # The remainder of a partly written line precedes the next line.
        self._unwritten = line[written:]


def configure_logs(settings: Settings) -> None:
    """Write all log records of the process to standard output as JSON.

    Parameters
    ----------
    settings : Settings
        Settings of the process, with its log level and identifiers.
    """
    output = NonBlockingHandler(STDOUT)
    output.setFormatter(
        BoundedJsonFormatter(
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

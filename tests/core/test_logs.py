"""Tests of the non-blocking log handler."""

import logging
import os
import socket

from mustardspur_core.logs import NonBlockingHandler

_PIPE_BYTES = 65_536


def _record(message: str) -> logging.LogRecord:
    return logging.makeLogRecord({'msg': message, 'levelno': logging.INFO})


def test_full_pipe_costs_lines_and_no_time() -> None:
    """Guards against a process that blocks because its log is not read."""
    reader, writer = os.pipe()
    handler = NonBlockingHandler(writer)
    line = 'x' * 1000
    while not handler.dropped:
        handler.emit(_record(line))
    handler.emit(_record(line))
    assert handler.dropped == 2
    os.read(reader, _PIPE_BYTES)
    last = _record('after')
    handler.emit(last)
    assert handler.dropped == 0
    assert getattr(last, 'lines_dropped', 0) == 2
    os.close(writer)
    with os.fdopen(reader, 'rb') as remaining:
        assert remaining.read().endswith(b'after\n')


def test_full_socket_costs_lines_and_no_time() -> None:
    """Guards against a process that blocks as a log collector that gave it a
    socket for its output does not read it.
    """
    reader, writer = socket.socketpair()
    with reader, writer:
        handler = NonBlockingHandler(writer.fileno())
        line = 'x' * 1000
        while not handler.dropped:
            handler.emit(_record(line))


class _NoMemory(logging.Formatter):
    """Formatter without memory for a line."""

    def format(self, record: logging.LogRecord) -> str:
        raise MemoryError


def test_line_that_cannot_be_formatted_ends_nothing() -> None:
    """Guards against a process that ends as it reports a failed task without
    memory for the line.
    """
    with open(os.devnull, 'wb') as output:
        handler = NonBlockingHandler(output.fileno())
        handler.setFormatter(_NoMemory())
        handler.emit(_record('lost'))
    assert handler.dropped == 1

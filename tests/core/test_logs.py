"""Tests of the non-blocking log handler and the format of its lines."""

import json
import logging
import os
import socket
import sys
from typing import Any

import pytest
from mustardspur_core.logs import (
    MAX_FIELD_CHARS,
    MAX_LINE_CHARS,
    BoundedJsonFormatter,
    NonBlockingHandler,
)

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


def _logged(**fields: Any) -> Any:
    formatter = BoundedJsonFormatter('%(levelname)s %(message)s')
    record = logging.makeLogRecord({'msg': 'event', **fields})
    line = formatter.format(record)
    assert len(line) <= MAX_LINE_CHARS
    assert '\n' not in line
    return json.loads(line)


@pytest.mark.parametrize('sent', ['x', '\0', '\udcff', '\U0001f600'])
def test_long_field_is_cut(sent: str) -> None:
    """Guards against a line of the log as long as what another process sent."""
    reason = 'BadStatusLine: {} in line 1'.format(sent * 800_000)
    logged = _logged(reason=reason)
    assert logged['message'] == 'event'
    assert len(logged['reason']) < MAX_FIELD_CHARS + 40
    assert logged['reason'].startswith('BadStatusLine: ')
    assert 'characters cut]' in logged['reason']
    assert logged['reason'].endswith(' in line 1')


def test_long_message_is_cut() -> None:
    """Guards against a long line because of the arguments of its message."""
    logged = _logged(msg='failed: %s', args=('x' * 800_000,))
    assert logged['message'].startswith('failed: xxx')


def test_many_long_fields_leave_a_bounded_line() -> None:
    """Guards against a long line of many fields, or of lists and objects."""
    fields = {f'field_{number}': '\0' * 5000 for number in range(10)}
    logged = _logged(
        **fields,
        count=7,
        nodes=['x' * 100 for _ in range(8000)],
        by_target={'x' * 100_000: 1},
    )
    assert logged['count'] == 7
    assert logged['nodes'].startswith('["xxx')
    assert 'characters cut]' in logged['by_target']


def _raise_error(text: str) -> None:
    raise ValueError(text)


def test_long_text_of_an_exception_is_cut() -> None:
    """Guards against a long line because of a traceback whose last line has
    what another process sent.
    """
    try:
        _raise_error('x' * 800_000)
    except ValueError:
        logged = _logged(exc_info=sys.exc_info())
    assert 'in _raise_error' in logged['exc_info']


def test_usual_fields_are_whole() -> None:
    """Guards against a cut identifier, path or list of an ordinary line."""
    nodes = [f'10.0.0.{number}:7000' for number in range(200)]
    path = '/drafts/{}'.format('x' * 900)
    logged = _logged(path=path, nodes=nodes)
    assert (logged['path'], logged['nodes']) == (path, nodes)

"""Tests of the bounded wait for what a start needs."""

import errno
import logging
import os
import signal
from itertools import repeat

import pytest
from mustardspur_core.event_loop import StoppedWhileWaiting
from mustardspur_core.start_wait import StartWait

_WAIT_S = 16.0
_NEED = 'address 127.0.0.1:80'


class _Clock:
    """Monotonic clock that only a pause moves."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.pauses = 0

    def __call__(self) -> float:
        return self.now_s

    def sleep(self, pause_s: float) -> None:
        self.now_s += pause_s
        self.pauses += 1


class _Attempts:
    """Fails with each of some errors in turn, then returns a text."""

    def __init__(self, *numbers: int) -> None:
        self._numbers = numbers
        self.made = 0

    def __call__(self) -> str:
        self.made += 1
        if self.made > len(self._numbers):
            return 'obtained'
        number = self._numbers[self.made - 1]
        raise OSError(number, os.strerror(number))


def _is_temporary(error: OSError) -> bool:
    return error.errno in {errno.EADDRINUSE, errno.EADDRNOTAVAIL}


def _wait(clock: _Clock) -> StartWait:
    return StartWait(_WAIT_S, clock, clock.sleep)


@pytest.mark.parametrize('number', [errno.ENFILE, errno.ENOMEM, errno.ENOBUFS])
def test_shortage_of_the_machine_is_waited_for(number: int) -> None:
    """Guards against a start that ends at once as all processes of the machine
    together have used up its files or memory for a moment.
    """
    clock = _Clock()
    attempts = _Attempts(number, errno.EADDRINUSE, number)
    assert _wait(clock).obtain(_NEED, attempts, _is_temporary) == 'obtained'
    assert clock.pauses == 3


def test_nothing_missing_is_obtained_at_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a start that is longer or logs more than before."""
    clock = _Clock()
    assert _wait(clock).obtain(_NEED, _Attempts(), _is_temporary) == 'obtained'
    assert not clock.pauses
    assert not caplog.records


@pytest.mark.parametrize('number', [errno.EADDRINUSE, errno.EADDRNOTAVAIL])
def test_wait_is_logged_once_at_both_ends(
    number: int,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a start that waits without a word, or with many."""
    caplog.set_level(logging.INFO)
    clock = _Clock()
    attempts = _Attempts(*repeat(number, 20))
    _wait(clock).obtain(
        _NEED, attempts, _is_temporary, lambda: {'held_by': 'x'}
    )
    waits, continues = caplog.records
    assert waits.message == 'start waits'
    assert waits.__dict__['needs'] == _NEED
    assert waits.__dict__['wait_s'] == _WAIT_S
    assert waits.__dict__['held_by'] == 'x'
    assert os.strerror(number) in waits.__dict__['reason']
    assert continues.message == 'start continues'
    assert continues.__dict__['needs'] == _NEED
    assert continues.__dict__['waited_s'] == pytest.approx(1.0)


def test_wait_ends_at_its_bound() -> None:
    """Guards against a start that waits without an end, or for each need."""
    clock = _Clock()
    wait = _wait(clock)
    for _ in range(2):
        attempts = _Attempts(*repeat(errno.EADDRINUSE, 10_000))
        with pytest.raises(OSError, match=os.strerror(errno.EADDRINUSE)):
            wait.obtain(_NEED, attempts, _is_temporary)
    assert clock.now_s == pytest.approx(100 + _WAIT_S, abs=0.2)
    assert attempts.made == 2


@pytest.mark.parametrize('before', [0, 3])
def test_lasting_error_ends_the_wait(before: int) -> None:
    """Guards against a wait for something that waiting cannot bring."""
    clock = _Clock()
    numbers = repeat(errno.EADDRINUSE, before)
    attempts = _Attempts(*numbers, errno.EACCES)
    with pytest.raises(PermissionError):
        _wait(clock).obtain(_NEED, attempts, _is_temporary)
    assert attempts.made == before + 1


@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT])
def test_stop_signal_ends_the_wait(number: signal.Signals) -> None:
    """Guards against a waiting process that a stop signal does not end, and
    one whose signals are handled as in the wait after it.
    """
    before = signal.getsignal(number)
    wait = StartWait(
        _WAIT_S,
        _Clock(),
        lambda _: os.kill(os.getpid(), number),
    )
    attempts = _Attempts(errno.EADDRINUSE, errno.EADDRINUSE)
    with pytest.raises(StoppedWhileWaiting) as ended:
        wait.obtain(_NEED, attempts, _is_temporary)
    assert ended.value.code == 0
    assert signal.getsignal(number) is before

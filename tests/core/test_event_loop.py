"""Tests of the event loop of processes."""

import subprocess
import sys

# Another thread gets the signals that are blocked in the main thread.
_SIGNALS_AT_THE_END = """
import asyncio, os, signal, threading, time
from mustardspur_core import event_loop

threading.Thread(target=time.sleep, args=(60,), daemon=True).start()
set_action = signal.signal

def set_action_and_send(number, action):
    former = set_action(number, action)
    os.kill(os.getpid(), number)
    return former

class Loop:
    def __init__(self, loop):
        self._loop = loop

    def remove_signal_handler(self, number):
        self._loop.remove_signal_handler(number)
        os.kill(os.getpid(), number)

async def main():
    loop = Loop(asyncio.get_running_loop())
    event_loop.stop_event()
    event_loop.asyncio.get_running_loop = lambda: loop
    signal.signal = set_action_and_send
    event_loop.ignore_stop_signals()

event_loop.run_in_loop(main())
for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
    os.kill(os.getpid(), number)
"""
_STOP_BY_A_SIGNAL = """
import asyncio, os, signal
from mustardspur_core import event_loop

async def main():
    stopped = event_loop.stop_event()
    os.kill(os.getpid(), signal.{name})
    async with asyncio.timeout(10):
        await stopped.wait()
    event_loop.ignore_stop_signals()

event_loop.run_in_loop(main())
"""
_STOP_AFTER_A_FAILURE = """
import os, signal, sys
from mustardspur_core import event_loop

async def main():
    event_loop.stop_event()
    raise OSError('cannot start')

try:
    event_loop.run_in_loop(main())
except OSError:
    os.kill(os.getpid(), signal.SIGTERM)
    sys.exit(3)
"""


def _exit_code(program: str) -> int:
    command = [sys.executable, '-c', program]
    return subprocess.run(command, check=False).returncode


def test_signal_at_the_very_end_does_not_end_a_process() -> None:
    """Guards against the exit code of a failure after a complete stop."""
    assert _exit_code(_SIGNALS_AT_THE_END) == 0


def test_stop_signals_wake_the_event_loop() -> None:
    """Guards against a stop signal that is handled only after other events."""
    assert _exit_code(_STOP_BY_A_SIGNAL.format(name='SIGTERM')) == 0
    assert _exit_code(_STOP_BY_A_SIGNAL.format(name='SIGINT')) == 0


def test_stop_signal_after_a_failure_changes_nothing() -> None:
    """Guards against a failed start whose reason and exit code are lost, as a
    stop signal arrives after the event loop was closed.
    """
    assert _exit_code(_STOP_AFTER_A_FAILURE) == 3

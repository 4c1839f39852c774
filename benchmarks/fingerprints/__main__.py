"""Measures what crash observation costs each answered call.

Run with ``python -m benchmarks.fingerprints``.
"""

import asyncio
import sys
import time
from collections.abc import Callable
from functools import partial
from typing import Final

from mustardspur_core.mesh.call_messages import CallOpen
from mustardspur_node.mesh.answer_budget import AnswerBudget
from mustardspur_node.mesh.crashes import CrashObserver
from mustardspur_node.mesh.fingerprints import call_fingerprint
from mustardspur_node.mesh.names import HEADER_NAMES
from mustardspur_node.mesh.silent_targets import SilenceObserver
from mustardspur_node.mesh.target_connection import TargetConnection
from mustardspur_node.mesh.target_pool import TargetPool

from tests.node.mesh.builders import call_open

BODY_BYTES: Final = (0, 1_000, 60_000)
CALLS: Final = 20_000
ROUNDS: Final = 5
# Headers that a caller's client sends usually, beside host and identifier.
OTHER_HEADERS: Final = 8
CRASH_TIMEOUT_S: Final = 5.0


async def main() -> None:
    """Print the processor time a call by size of the body."""
    for size in BODY_BYTES:
        # Calls share their body, so that the benchmark needs little memory.
        body = bytes(size)
        calls = [_call(number, body) for number in range(CALLS)]
        fingerprint_us = _least_us(_fingerprint, calls)
        observer = CrashObserver(HEADER_NAMES)
        before_us = _least_us(observer.record_answered, calls)
        await _crash(observer, calls[0])
        after_us = _least_us(observer.record_answered, calls)
        sys.stdout.write(
            f'body of {size} bytes: fingerprint {fingerprint_us:.1f} us, '
            f'record of an answer before a crash {before_us:.1f} us, '
            f'after one {after_us:.1f} us a call\n'
        )
    _print_observation(calls)


def _call(number: int, body: bytes) -> CallOpen:
    other = [[f'x-header-{each}', 'value' * 4] for each in range(OTHER_HEADERS)]
    call = call_open(f'r{number}', path=f'/drafts/{number}?page=2')
    call.headers = [*call.headers, ['x-mustardspur-origin', 'forms'], *other]
    call.body = body
    return call


def _print_observation(calls: list[CallOpen]) -> None:
    """Print the cost of the detection of silent targets, off and on."""
    silence = SilenceObserver(CrashObserver(HEADER_NAMES))
    budget = AnswerBudget()
    pool = TargetPool('127.0.0.1:9', budget)
    connection = TargetConnection(asyncio.get_running_loop(), budget)
    observe = partial(_observe, silence, connection, pool)
    for name, after_s in (('off', 0), ('on', 5)):
        silence.after_s = after_s
        sys.stdout.write(
            f'detection of silence {name}: '
            f'{_least_us(observe, calls):.1f} us a call\n'
        )


def _observe(
    silence: SilenceObserver,
    connection: TargetConnection,
    pool: TargetPool,
    call: CallOpen,
) -> None:
    with silence.observed(call, connection, pool):
        connection.data_received(b'')


async def _crash(observer: CrashObserver, call: CallOpen) -> None:
    """Let the observer find that the target, which never was up, crashed."""
    crashed = asyncio.Event()
    observer.on_crash = crashed.set
    # A port of the loopback interface without a listener.
    observer.record_broken(call, TargetPool('127.0.0.1:9', AnswerBudget()))
    async with asyncio.timeout(CRASH_TIMEOUT_S):
        await crashed.wait()


def _fingerprint(call: CallOpen) -> None:
    call_fingerprint(
        HEADER_NAMES, call.method, call.path, call.headers, call.body
    )


def _least_us(
    record: Callable[[CallOpen], None], calls: list[CallOpen]
) -> float:
    """Return the least mean of several rounds in microseconds.

    Other work on the machine makes a round slower, never faster.
    """
    return min(_mean_us(record, calls) for _ in range(ROUNDS))


def _mean_us(
    record: Callable[[CallOpen], None], calls: list[CallOpen]
) -> float:
    started_s = time.process_time()
    for call in calls:
        record(call)
    return (time.process_time() - started_s) / len(calls) * 1e6


if __name__ == '__main__':
    asyncio.run(main())

"""Tests of the allocator's settings."""

import subprocess
import sys
from typing import Final

_MAX_KEPT_KIB: Final = 20_000
_PROGRAM: Final = """
from pathlib import Path
from mustardspur_core.event_loop import run_in_loop

def resident_kib():
    status = Path('/proc/self/status').read_text()
    return int(status.partition('VmRSS:')[2].split()[0])

async def main():
    bytes(30_000_000)
    before = resident_kib()
    bodies = [b'x' * 500_000 for _ in range(200)]
    del bodies[:-1]
    print(resident_kib() - before)

run_in_loop(main())
"""


def test_freed_bodies_leave_the_process() -> None:
    """Guards against a process that keeps the memory of bodies that it has
    freed, until it is killed for it.
    """
    ended = subprocess.run(
        [sys.executable, '-c', _PROGRAM],
        capture_output=True,
        text=True,
        check=True,
    )
    assert int(ended.stdout) < _MAX_KEPT_KIB

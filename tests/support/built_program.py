"""The program that starts deployed processes, with the Python of the tests."""

import os
from functools import cache
from pathlib import Path
from typing import Final

from mustardspur_daemon.interpreter import build_interpreter

_PATH: Final = Path(__file__).parents[2] / 'build/tests/mustardspur-python'
# Set in the processes between which pytest distributes the tests.
_WORKER_VARIABLE: Final = 'PYTEST_XDIST_WORKER'


@cache
def built_program() -> Path:
    """Return the program, built once for all processes of a test run.

    Explanation
    ===========

    `tests.conftest` calls this before the workers start.
    """
    if _WORKER_VARIABLE not in os.environ:
        build_interpreter(_PATH)
    return _PATH

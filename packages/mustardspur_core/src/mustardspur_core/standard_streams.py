"""Standard streams of a process that was started without some of them."""

import os
import sys
from types import MappingProxyType
from typing import Final

_STDIN: Final = 0
STDOUT: Final = 1
STDERR: Final = 2
_NAMES_BY_OUTPUT: Final = MappingProxyType(
    {STDOUT: 'stdout', STDERR: 'stderr'},
)


def open_standard_streams() -> None:
    """Open the null device in place of each standard stream that is closed.

    Explanation
    ===========

    Otherwise the next file or socket that is opened gets the descriptor, and
    the log is written into it; libuv ends a process that closes descriptor 2
    with a loop.
    """
    for descriptor in (_STDIN, *_NAMES_BY_OUTPUT):
        if not _is_open(descriptor):
            # The lowest free descriptor is used.
            os.open(os.devnull, os.O_RDWR)
    for output, name in _NAMES_BY_OUTPUT.items():
        if getattr(sys, name) is None:
            setattr(sys, name, os.fdopen(output, 'w', closefd=False))


def _is_open(descriptor: int) -> bool:
    try:
        os.fstat(descriptor)
    except OSError:
        return False
    return True

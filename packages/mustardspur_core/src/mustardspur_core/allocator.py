"""Settings of the C library's allocator."""

import ctypes
from contextlib import suppress
from typing import Final

# Parameters of `mallopt` in the GNU C library.
_M_TRIM_THRESHOLD: Final = -1
_M_MMAP_THRESHOLD: Final = -3
# The initial values of that library.
_THRESHOLD_BYTES: Final = 131_072


def return_freed_memory() -> None:
    """Give large blocks back to the system when they are freed.

    Explanation
    ===========

    The library raises its thresholds to the size of each large block that is
    freed, up to 32 MiB. Later blocks of that size are cut from the heap, which
    keeps them, and a body that grows there is moved and leaves holes. Setting
    the thresholds ends that. Other libraries have no `mallopt`.
    """
    with suppress(AttributeError, OSError):
        library = ctypes.CDLL(None)
        library.mallopt(_M_MMAP_THRESHOLD, _THRESHOLD_BYTES)
        library.mallopt(_M_TRIM_THRESHOLD, _THRESHOLD_BYTES)

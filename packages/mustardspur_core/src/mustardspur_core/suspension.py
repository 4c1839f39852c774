"""Time in which the instance was suspended."""

import time


def suspended_s() -> float:
    """Return the total time in which the instance was suspended, in seconds.

    Explanation
    ===========

    The monotonic clock, on which the event loop and all deadlines run, stands
    still while the instance is suspended. A deadline that passed meanwhile
    looks as if it were still ahead, so code that acts on one subtracts the
    increase of this value since the deadline was set.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()

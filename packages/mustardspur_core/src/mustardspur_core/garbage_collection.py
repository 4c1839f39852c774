"""Garbage collection of long-running processes."""

import gc
from typing import Final

# Objects of a call live for milliseconds, and a full collection takes longer
# than a call may be delayed. Higher thresholds make collections rare.
_GC_THRESHOLDS: Final = (50_000, 50, 100)


def tune_garbage_collector() -> None:
    """Exclude the objects of start-up from garbage collection.

    The thresholds for later collections are raised too.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)

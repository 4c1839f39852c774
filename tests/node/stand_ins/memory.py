"""Memory that Python objects take, without a garbage collection."""

import gc
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager

Allocated = Callable[[], int]


@contextmanager
def uncollected_memory() -> Iterator[Allocated]:
    """Yield what returns the bytes allocated in the block and not freed.

    The garbage collector is off in the block, as it is rare in a node.
    """
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        yield _allocated_bytes
    finally:
        tracemalloc.stop()
        gc.enable()


def _allocated_bytes() -> int:
    held_bytes, _ = tracemalloc.get_traced_memory()
    return held_bytes

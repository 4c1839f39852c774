"""Files that last through a loss of power."""

import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

_PARTIAL_SUFFIX = '.partial'


@contextmanager
def open_descriptor(path: Path, flags: int) -> Iterator[int]:
    """Open a file or folder for the length of a block."""
    descriptor = os.open(path, flags)
    try:
        yield descriptor
    finally:
        os.close(descriptor)


def sync_path(path: Path) -> None:
    """Make the contents of a file, or the names in a folder, durable."""
    with open_descriptor(path, os.O_RDONLY) as descriptor:
        os.fsync(descriptor)


def replace_synced(path: Path, content: bytes) -> None:
    """Replace a file and return once the new one is durable.

    A loss of power leaves the old file or the new one.

    Raises
    ------
    OSError
        If the disk refuses; the old file is still there then.
    """
    partial = path.with_suffix(_PARTIAL_SUFFIX)
    with partial.open('wb') as output:
        output.write(content)
        output.flush()
        os.fsync(output.fileno())
    partial.replace(path)
    sync_path(path.parent)

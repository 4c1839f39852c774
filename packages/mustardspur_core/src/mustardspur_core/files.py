"""Durable writes of files."""

import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

_PARTIAL_SUFFIX = '.partial'


@contextmanager
def open_descriptor(path: Path, flags: int) -> Iterator[int]:
    """Open a file or folder and close its descriptor at the end."""
    descriptor = os.open(path, flags)
    try:
        yield descriptor
    finally:
        os.close(descriptor)


def sync_path(path: Path) -> None:
    """Flush a file, or the directory entries of a folder, to disk."""
    with open_descriptor(path, os.O_RDONLY) as descriptor:
        os.fsync(descriptor)


def replace_synced(path: Path, content: bytes) -> None:
    """Replace a file atomically and return once it is on disk.

    After a power failure either the old or the new file exists.

    Raises
    ------
    OSError
        If writing fails; the old file is then unchanged.
    """
    partial = path.with_suffix(_PARTIAL_SUFFIX)
    with partial.open('wb') as output:
        output.write(content)
        output.flush()
        os.fsync(output.fileno())
    partial.replace(path)
    sync_path(path.parent)

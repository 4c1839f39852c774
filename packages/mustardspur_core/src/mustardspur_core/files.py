"""Durable writes of files."""

import os
from collections.abc import Iterator
from contextlib import contextmanager, suppress
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


def make_folder_synced(folder: Path) -> None:
    """Create a folder and its missing parents; return once they are on disk.

    Explanation
    ===========

    Each folder is synced into its parent before another one is created below
    it. Only the deepest one that exists can have been left without a sync, by
    a process that was killed in between.

    Raises
    ------
    OSError
        If a folder cannot be created or synced.
    """
    missing: list[Path] = []
    existing = folder
    while not existing.exists():
        missing.append(existing)
        existing = existing.parent
    # A folder may be given to the process in one that it cannot sync.
    with suppress(OSError):
        sync_path(existing.parent)
    for each in reversed(missing):
        each.mkdir(exist_ok=True)
        sync_path(each.parent)


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

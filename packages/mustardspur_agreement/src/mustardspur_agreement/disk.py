"""Files of one folder of the operating system."""

import os
from pathlib import Path

from mustardspur_core.files import (
    make_folder_synced,
    open_descriptor,
    sync_path,
)


class FolderDisk:
    """The log's folder; implements the `Disk` protocol.

    Parameters
    ----------
    folder : Path
        Folder for the files; created, durably, where it is missing.
    """

    __slots__ = ('_folder',)

    def __init__(self, folder: Path) -> None:
        """Create the folder."""
        self._folder = folder
        make_folder_synced(folder)

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(path.name for path in self._folder.iterdir())

    def read(self, name: str) -> bytes | None:
        """Return the contents of a file, None if there is none."""
        try:
            return (self._folder / name).read_bytes()
        except FileNotFoundError:
            return None

    def write(self, name: str, offset: int, content: bytes) -> None:
        """Write at an offset; a write that cannot complete fails."""
        flags = os.O_WRONLY | os.O_CREAT
        with open_descriptor(self._folder / name, flags) as descriptor:
            _write_all(descriptor, offset, content)

    def cut(self, name: str, length: int) -> None:
        """Shorten a file."""
        os.truncate(self._folder / name, length)

    def sync(self, name: str) -> None:
        """Make the contents of a file durable."""
        sync_path(self._folder / name)

    def rename(self, name: str, new_name: str) -> None:
        """Replace one file by another, atomically."""
        (self._folder / name).replace(self._folder / new_name)

    def remove(self, name: str) -> None:
        """Remove a file, if there is one."""
        (self._folder / name).unlink(missing_ok=True)

    def sync_folder(self) -> None:
        """Make creations, renames and removals durable."""
        sync_path(self._folder)


def _write_all(descriptor: int, offset: int, content: bytes) -> None:
    written = 0
    while written < len(content):
        written += os.pwrite(descriptor, content[written:], offset + written)

"""What a loss of power may leave of the files of a recorded process."""

import io
import os
import pickle  # The file is written and read by the same test.
import shutil
from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Any, Final

from tests.support.recorded_start import OPERATIONS_SUFFIX

# Chances of a change that was not synced to be retained, one of them a loss.
_RETAINED: Final = (0, 0.3, 0.5, 0.7, 1)


class _Stored:
    """A file or folder with its durable content and its later writes."""

    def __init__(self, content: bytes | None) -> None:
        self.content = content
        self.synced = content
        # Offset and bytes of each write; no bytes cut the file there.
        self.pending: list[tuple[int, bytes | None]] = []

    def apply(self, offset: int, content: bytes | None) -> None:
        self.content = _applied(self.content or b'', offset, content)
        self.pending.append((offset, content))

    def sync(self) -> None:
        self.synced = self.content
        self.pending = []

    def after_loss(self, random: Random, chance: float) -> bytes:
        content = self.synced or b''
        for offset, written in self.pending:
            if random.random() >= chance:
                continue
            if written and random.random() < 1 / 3:
                written = written[: random.randrange(len(written))]
            content = _applied(content, offset, written)
        return content


class RecordedFolder:
    """The files of a folder by the operations that were recorded.

    Names and contents that were not synced are each retained or lost by
    themselves; a write can also be torn.

    Parameters
    ----------
    folder : Path
        The recorded folder; its process must have been killed.
    """

    def __init__(self, folder: Path) -> None:
        """Play the recorded operations."""
        self._folder = folder
        self._names: dict[str, _Stored] = {}
        self._synced_names: dict[str, _Stored] = {}
        self._by_number: dict[int, _Stored] = {}
        self._is_started = False
        for name, *values in _operations(folder):
            getattr(self, f'_{name}')(*values)

    def lose_power(self, random: Random) -> int:
        """Replace the files by what is left; return how many were unsynced."""
        chance = random.choice(_RETAINED)
        retained: dict[str, _Stored] = {}
        for path in sorted(self._names.keys() | self._synced_names.keys()):
            names = (
                self._names if random.random() < chance else self._synced_names
            )
            parent = os.path.dirname(path)
            is_reachable = parent == str(self._folder) or parent in retained
            if path in names and is_reachable:
                retained[path] = names[path]
        unsynced = sum(bool(stored.pending) for stored in retained.values())
        clear(self._folder)
        for name, kept in retained.items():
            if kept.content is None:
                Path(name).mkdir()
            else:
                Path(name).write_bytes(kept.after_loss(random, chance))
        return unsynced + self._count_unsynced_names()

    def _count_unsynced_names(self) -> int:
        names = self._names.keys() | self._synced_names.keys()
        return sum(
            self._names.get(name) is not self._synced_names.get(name)
            for name in names
        )

    def _start(self, listing: dict[str, tuple[int, bytes | None]]) -> None:
        self._names = {
            path: self._known(number, content)
            for path, (number, content) in listing.items()
        }
        if not self._is_started:
            self._synced_names = dict(self._names)
        self._is_started = True

    def _known(self, number: int, content: bytes | None) -> _Stored:
        stored = self._by_number.get(number)
        if stored is None:
            stored = _Stored(content)
            self._by_number[number] = stored
            if self._is_started and content is not None:
                stored.synced = b''
                stored.pending = [(0, content)]
        elif stored.content != content and content is not None:
            # Recorded writes that the process had not done when it was killed.
            stored.apply(0, content)
            stored.apply(len(content), None)
        return stored

    def _create(self, path: str, number: int) -> None:
        self._names[path] = _Stored(b'')
        self._by_number[number] = self._names[path]

    def _mkdir(self, path: str, number: int) -> None:
        self._names[path] = _Stored(None)
        self._by_number[number] = self._names[path]

    def _write(self, number: int, offset: int, content: bytes) -> None:
        self._by_number[number].apply(offset, content)

    def _cut(self, number: int, length: int) -> None:
        self._by_number[number].apply(length, None)

    def _sync(self, number: int) -> None:
        self._by_number[number].sync()

    def _sync_folder(self, folder: str, names: dict[str, int]) -> None:
        for path in list(self._synced_names):
            if os.path.dirname(path) == folder:
                self._synced_names.pop(path)
        for path, number in names.items():
            self._synced_names[path] = self._by_number[number]

    def _rename(self, source: str, target: str) -> None:
        self._names[target] = self._names.pop(source)

    def _remove(self, path: str) -> None:
        self._names.pop(path)


def clear(folder: Path) -> None:
    """Remove the files of a recorded folder and what was recorded."""
    Path(f'{folder}{OPERATIONS_SUFFIX}').unlink(missing_ok=True)
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)


def _operations(folder: Path) -> Iterator[tuple[Any, ...]]:
    recorded = Path(f'{folder}{OPERATIONS_SUFFIX}')
    content = io.BytesIO(recorded.read_bytes() if recorded.exists() else b'')
    while content.tell() < len(content.getbuffer()):
        try:
            yield pickle.load(content)
        except (EOFError, pickle.UnpicklingError):
            # The process was killed while it recorded.
            return


def _applied(before: bytes, offset: int, content: bytes | None) -> bytes:
    if content is None:
        return before[:offset]
    start = before[:offset].ljust(offset, b'\0')
    return start + content + before[offset + len(content) :]

"""The highest index known to be committed, kept in two fixed places.

The two places are written in turn, so that a write cut short leaves the
previous mark, and the file never grows, so that a full disk does not stop
entries that are already committed from being applied.
"""

from typing import Final

from mustardspur_agreement.ports import Disk
from mustardspur_agreement.records import OVERHEAD_BYTES, scan, seal

_NAME: Final = 'commit'
_INDEX_BYTES: Final = 8
_PLACE_BYTES: Final = OVERHEAD_BYTES + _INDEX_BYTES
_PLACES: Final = 2


class CommitMarks:
    """Reader and writer of the marks.

    Parameters
    ----------
    disk : Disk
        The folder.
    """

    __slots__ = ('_disk', '_exists', '_turn')

    def __init__(self, disk: Disk) -> None:
        """Start with the first place."""
        self._disk = disk
        self._exists = False
        self._turn = 0

    def load(self) -> int:
        """Return the highest readable mark, 0 if there is none."""
        self._exists = _NAME in self._disk.names()
        content = self._disk.read(_NAME) or b''
        marks = [self._read_place(content, place) for place in range(_PLACES)]
        highest = max(marks)
        self._turn = marks.index(highest) + 1
        return highest

    def save(self, index: int) -> None:
        """Make a mark durable, over the older of the two."""
        place = self._turn % _PLACES
        record = seal(index.to_bytes(_INDEX_BYTES, 'big'))
        self._disk.write(_NAME, place * _PLACE_BYTES, record)
        self._disk.sync(_NAME)
        if not self._exists:
            self._disk.sync_folder()
            self._exists = True
        self._turn = place + 1

    def reset(self, index: int) -> None:
        """Replace both marks, after damage has removed entries."""
        for _ in range(_PLACES):
            self.save(index)

    def _read_place(self, content: bytes, place: int) -> int:
        start = place * _PLACE_BYTES
        found = scan(content[start : start + _PLACE_BYTES])
        return int.from_bytes(found.payloads[0], 'big') if found.payloads else 0

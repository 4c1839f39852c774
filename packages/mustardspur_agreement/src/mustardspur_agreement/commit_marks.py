"""The highest index known to be committed, stored in two fixed slots.

The slots are written alternately, so that an incomplete write leaves the
previous mark. The file never grows, so that a full disk does not prevent
committed entries from being applied.
"""

from typing import Final

from mustardspur_agreement.ports import Disk
from mustardspur_agreement.records import OVERHEAD_BYTES, encode_record, scan

_NAME: Final = 'commit'
_INDEX_BYTES: Final = 8
_SLOT_BYTES: Final = OVERHEAD_BYTES + _INDEX_BYTES
_SLOTS: Final = 2


class CommitMarks:
    """Reads and writes the commit marks.

    Parameters
    ----------
    disk : Disk
        The folder.
    """

    __slots__ = ('_disk', '_exists', '_next_slot')

    def __init__(self, disk: Disk) -> None:
        """Initialise with the first slot as the next one."""
        self._disk = disk
        self._exists = False
        self._next_slot = 0

    def load(self) -> int:
        """Return the highest readable mark, 0 if there is none."""
        self._exists = _NAME in self._disk.names()
        content = self._disk.read(_NAME) or b''
        marks = [self._read_slot(content, slot) for slot in range(_SLOTS)]
        highest = max(marks)
        self._next_slot = marks.index(highest) + 1
        return highest

    def save(self, index: int) -> None:
        """Save a mark durably over the older of the two."""
        slot = self._next_slot % _SLOTS
        record = encode_record(index.to_bytes(_INDEX_BYTES, 'big'))
        self._disk.write(_NAME, slot * _SLOT_BYTES, record)
        self._disk.sync(_NAME)
        if not self._exists:
            self._disk.sync_folder()
            self._exists = True
        self._next_slot = slot + 1

    def reset(self, index: int) -> None:
        """Replace both marks, after damage has removed entries."""
        for _ in range(_SLOTS):
            self.save(index)

    def _read_slot(self, content: bytes, slot: int) -> int:
        start = slot * _SLOT_BYTES
        found = scan(content[start : start + _SLOT_BYTES])
        return int.from_bytes(found.payloads[0], 'big') if found.payloads else 0

"""Log entries on disk, in segments."""

from typing import Final

import msgpack
from mustardspur_core.conversion import decode_array, encode_array
from mustardspur_core.record import Record
from mustardspur_core.units import BYTES_PER_MIB

from mustardspur_agreement.entries import Entry, pack
from mustardspur_agreement.ports import Disk
from mustardspur_agreement.records import FileState, encode_record, scan

MAX_SEGMENT_BYTES: Final = 4 * BYTES_PER_MIB
_PREFIX: Final = 'log-'
_INDEX_DIGITS: Final = 20


class UncertainWriteError(OSError):
    """A failed write that could not be undone and may still be on disk."""


class Segment(Record):
    """One file of consecutive entries.

    Parameters
    ----------
    first_index : int
        Index of its first entry.
    offsets : list of int
        Where each entry starts.
    length : int
        Bytes up to the end of the last entry.
    """

    __slots__ = ('first_index', 'offsets', 'length')
    first_index: int
    offsets: list[int]
    length: int

    @property
    def name(self) -> str:
        """Name of the file."""
        digits = str(self.first_index).zfill(_INDEX_DIGITS)
        return f'{_PREFIX}{digits}'

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.first_index + len(self.offsets) - 1


class SegmentLog:
    """The segments of one log, in order.

    Parameters
    ----------
    disk : Disk
        The folder.
    """

    __slots__ = (
        '_disk',
        '_segments',
        '_truncated_from',
        '_uncertain',
        'state',
    )

    def __init__(self, disk: Disk) -> None:
        """Initialise without reading the files."""
        self._disk = disk
        self._segments: list[Segment] = []
        # Segment with a failed write that is not undone yet.
        self._uncertain: Segment | None = None
        # Where a truncation starts that is not durable yet.
        self._truncated_from: int | None = None
        self.state = FileState.WHOLE

    def load(self) -> list[Entry]:
        """Read the entries up to the first that is not readable.

        Explanation
        ===========

        Sets `state`. Nothing is changed on disk, so that the caller can
        record damage durably before `truncate` removes its traces.
        """
        entries: list[Entry] = []
        for name in self._names():
            if self.state is not FileState.WHOLE:
                # Only the last segment can end in an incomplete write.
                self.state = FileState.DAMAGED
                break
            entries.extend(self._load_segment(name, entries))
        return entries

    def append(self, entries: list[Entry]) -> None:
        """Write entries after the last one and make them durable.

        Raises
        ------
        OSError
            If the write fails; none of the entries is then stored.
        UncertainWriteError
            If the failed write could not be undone.
        """
        if self._truncated_from is not None:
            self.truncate(self._truncated_from)
        if self._uncertain is not None:
            # A snapshot may have started another segment since.
            self._undo(self._uncertain)
        segment = self._segment_for_append(entries[0].index)
        records = [
            encode_record(pack(encode_array(entry))) for entry in entries
        ]
        try:
            self._write(segment, b''.join(records))
        except OSError:
            self._undo(segment)
            raise
        for record in records:
            segment.offsets.append(segment.length)
            segment.length += len(record)

    def truncate(self, from_index: int) -> None:
        """Remove an entry and all after it, durably, newest files first.

        Raises
        ------
        OSError
            If the disk refuses a step; the next `append` completes the rest.
        """
        self._truncated_from = from_index
        while self._segments and self._segments[-1].first_index >= from_index:
            self._disk.remove(self._segments[-1].name)
            self._disk.sync_folder()
            self._segments.pop()
        if self._segments:
            self._cut(self._segments[-1], from_index)
        self._truncated_from = None

    def clean(self) -> None:
        """Remove what `load` could not read, after the damage is recorded."""
        known = {segment.name for segment in self._segments}
        for name in reversed(self._names()):
            if name not in known:
                self._disk.remove(name)
                self._disk.sync_folder()
        for segment in self._segments[-1:]:
            self._cut_file(segment)

    def drop_through(self, index: int) -> None:
        """Remove segments whose entries all are at or before an index."""
        while self._segments and self._segments[0].last_index <= index:
            self._disk.remove(self._segments[0].name)
            self._disk.sync_folder()
            self._segments.pop(0)

    def start_segment(self) -> None:
        """Start a new segment, so that older ones can be removed."""
        # Two segments without entries would share one file, which the removal
        # of the older one would take from the newer one.
        if self._segments and self._segments[-1].offsets:
            last = self._segments[-1]
            self._segments.append(
                Segment(first_index=last.last_index + 1, offsets=[], length=0)
            )

    def _names(self) -> list[str]:
        names = self._disk.names()
        return sorted(name for name in names if name.startswith(_PREFIX))

    def _load_segment(self, name: str, before: list[Entry]) -> list[Entry]:
        found = scan(self._disk.read(name) or b'')
        self.state = found.state
        first_index = int(name.removeprefix(_PREFIX))
        if before and first_index != before[-1].index + 1:
            self.state = FileState.DAMAGED
            return []
        segment = Segment(
            first_index=first_index,
            offsets=found.offsets,
            length=found.length,
        )
        self._segments.append(segment)
        rows = [msgpack.unpackb(payload) for payload in found.payloads]
        return [decode_array(Entry, row) for row in rows]

    def _segment_for_append(self, index: int) -> Segment:
        last = self._segments[-1] if self._segments else None
        if last and last.length < MAX_SEGMENT_BYTES:
            return last
        segment = Segment(first_index=index, offsets=[], length=0)
        self._segments.append(segment)
        return segment

    def _write(self, segment: Segment, content: bytes) -> None:
        self._disk.write(segment.name, segment.length, content)
        self._disk.sync(segment.name)
        if not segment.offsets:
            self._disk.sync_folder()

    def _undo(self, segment: Segment) -> None:
        self._uncertain = segment
        try:
            self._cut_file(segment)
        except FileNotFoundError:
            self._uncertain = None
        except OSError as error:
            raise UncertainWriteError(str(error)) from error
        self._uncertain = None

    def _cut_file(self, segment: Segment) -> None:
        self._disk.cut(segment.name, segment.length)
        self._disk.sync(segment.name)

    def _cut(self, segment: Segment, from_index: int) -> None:
        position = from_index - segment.first_index
        if position < len(segment.offsets):
            self._disk.cut(segment.name, segment.offsets[position])
            self._disk.sync(segment.name)
            segment.length = segment.offsets[position]
            segment.offsets = segment.offsets[:position]

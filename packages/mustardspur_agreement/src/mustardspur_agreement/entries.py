"""Entries of the replicated log and their packed form."""

from enum import IntEnum
from typing import Any, Final

import msgpack
import zstandard
from mustardspur_core.conversion import decode_array, encode_array
from mustardspur_core.record import Record
from mustardspur_core.units import BYTES_PER_MIB

MAX_BATCH_BYTES: Final = BYTES_PER_MIB
MAX_ENTRY_BYTES: Final = 3 * BYTES_PER_MIB
# Limits the memory used by a damaged compressed batch or snapshot.
MAX_UNPACKED_BYTES: Final = 100 * BYTES_PER_MIB


class EntryKind(IntEnum):
    """Type of the content of an entry."""

    DATA = 0
    NO_OP = 1
    VOTERS = 2


class Entry(Record):
    """An entry of the log.

    Parameters
    ----------
    index : int
        Position in the log, from 1.
    term : int
        Term of the leader that appended it.
    kind : int
        One of `EntryKind`.
    content : bytes
        The proposed bytes or the packed voters.
    """

    __slots__ = ('index', 'term', 'kind', 'content')
    index: int
    term: int
    kind: int
    content: bytes


def pack(row: Any) -> bytes:
    """Return the msgpack form of plain values."""
    packed: bytes = msgpack.packb(row, use_bin_type=True)
    return packed


def pack_entries(entries: list[Entry], *, compressed: bool) -> bytes:
    """Pack a batch of entries for the wire.

    Parameters
    ----------
    entries : list of Entry
        The batch.
    compressed : bool
        Whether to compress it with zstd, for links between regions.
    """
    packed = pack(encode_array(entries))
    return compress(packed) if compressed else packed


def unpack_entries(packed: bytes, *, compressed: bool) -> list[Entry]:
    """Unpack a batch from a peer.

    Raises
    ------
    ValueError
        If the bytes are not a batch.
    """
    plain = decompress(packed) if compressed else packed
    rows = msgpack.unpackb(plain, raw=False)
    return [decode_array(Entry, row) for row in rows]


def compress(plain: bytes) -> bytes:
    """Compress with zstd."""
    return zstandard.ZstdCompressor().compress(plain)


def decompress(packed: bytes) -> bytes:
    """Decompress what `compress` returned.

    Raises
    ------
    ValueError
        If the bytes are damaged or too long once decompressed.
    """
    try:
        return zstandard.ZstdDecompressor().decompress(
            packed,
            max_output_size=MAX_UNPACKED_BYTES,
        )
    except zstandard.ZstdError as error:
        raise ValueError(str(error)) from error


def batch_of(entries: list[Entry]) -> list[Entry]:
    """Return the first entries, at least one, that fit one frame."""
    total_bytes = 0
    for position, entry in enumerate(entries):
        total_bytes += len(entry.content)
        if position and total_bytes > MAX_BATCH_BYTES:
            return entries[:position]
    return entries

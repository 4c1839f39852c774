"""Checksummed records in a file and the recovery of damaged files.

A record is a header, a payload and an end mark. The header has the payload's
length, a checksum of the length and a checksum of the payload, so that a
damaged length is distinguished from an incomplete write after a power loss.
The end mark has two nonzero bytes, so that damage to one byte is never
mistaken for the zeros that such a write leaves.
"""

import struct
from enum import StrEnum
from typing import Final

import xxhash
from mustardspur_core.record import Record

_HEADER: Final = struct.Struct('>IIQ')
HEADER_BYTES: Final = _HEADER.size
_LENGTH_BYTES: Final = 4
_END_MARK: Final = b'\xa5\xa5'
OVERHEAD_BYTES: Final = HEADER_BYTES + len(_END_MARK)


class FileState(StrEnum):
    """State of the bytes that follow the readable records."""

    WHOLE = 'whole'
    TORN = 'torn'
    DAMAGED = 'damaged'


class Scan(Record):
    """Readable records of a file.

    Parameters
    ----------
    payloads : list of bytes
        Payloads of the readable records, from the start.
    offsets : list of int
        Start offset of each record.
    length : int
        Bytes up to the end of the last of them.
    state : FileState
        State of the bytes that follow.
    """

    __slots__ = ('payloads', 'offsets', 'length', 'state')
    payloads: list[bytes]
    offsets: list[int]
    length: int
    state: FileState


def encode_record(payload: bytes) -> bytes:
    """Return the record of a payload."""
    length = len(payload).to_bytes(_LENGTH_BYTES, 'big')
    header = _HEADER.pack(
        len(payload),
        xxhash.xxh32_intdigest(length),
        xxhash.xxh64_intdigest(payload),
    )
    return header + payload + _END_MARK


def scan(content: bytes) -> Scan:
    """Read records until the end or the first that is not readable.

    Explanation
    ===========

    An incomplete write leaves a prefix of the data, followed by the end of
    the file or by zeros. Anything else that fails its checksum is damage to
    bytes that were once durable.
    """
    found = Scan(payloads=[], offsets=[], length=0, state=FileState.WHOLE)
    while found.length < len(content):
        payload = _read(content, found.length)
        if payload is None:
            found.state = _tail_state(content, found.length)
            return found
        found.payloads.append(payload)
        found.offsets.append(found.length)
        found.length += OVERHEAD_BYTES + len(payload)
    return found


def decode_record(content: bytes) -> bytes | None:
    """Return the payload of a file that is one record, None if damaged."""
    found = scan(content)
    if found.state is FileState.WHOLE and len(found.payloads) == 1:
        return found.payloads[0]
    return None


def _read(content: bytes, offset: int) -> bytes | None:
    length = _payload_length(content, offset)
    start = offset + HEADER_BYTES
    if length is None:
        return None
    payload = content[start : start + length]
    end_mark = content[start + length : offset + OVERHEAD_BYTES + length]
    checksum = _HEADER.unpack_from(content, offset)[2]
    if xxhash.xxh64_intdigest(payload) != checksum or end_mark != _END_MARK:
        return None
    return payload


def _payload_length(content: bytes, offset: int) -> int | None:
    if offset + HEADER_BYTES > len(content):
        return None
    length, length_checksum, _ = _HEADER.unpack_from(content, offset)
    encoded = content[offset : offset + _LENGTH_BYTES]
    if xxhash.xxh32_intdigest(encoded) != length_checksum:
        return None
    return int(length)


def _tail_state(content: bytes, offset: int) -> FileState:
    written = len(content.rstrip(b'\0'))
    header_end = offset + HEADER_BYTES
    if written < header_end or len(content) < header_end:
        return FileState.TORN
    length = _payload_length(content, offset)
    if length is None:
        return FileState.DAMAGED
    end = offset + OVERHEAD_BYTES + length
    if len(content) < end or written < end - 1:
        return FileState.TORN
    return FileState.DAMAGED

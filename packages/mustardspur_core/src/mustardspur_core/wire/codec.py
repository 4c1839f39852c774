"""Registry of message types and their encoding as msgpack."""

from collections.abc import Callable
from typing import Any, Final, TypeVar

import msgpack

from mustardspur_core.conversion import decode_array, encode_array
from mustardspur_core.readers import DecodeError, describe
from mustardspur_core.record import Record

PROTOCOL_VERSION: Final = 1
FRAME_FIELDS: Final = 4

_MessageT = TypeVar('_MessageT', bound=type[Record])
_types_by_code: dict[int, type[Record]] = {}
_codes_by_type: dict[type[Record], int] = {}


class MalformedFrame(ValueError):
    """A frame that no peer of this protocol version sends.

    Parameters
    ----------
    kind : str
        Short reason for counters: ``length``, ``truncated``, ``msgpack``,
        ``shape``, ``version``, ``type`` or ``fields``.
    detail : str
        Description for the log and for the peer.
    """

    def __init__(self, kind: str, detail: str) -> None:
        """Keep the kind for counters beside the message."""
        super().__init__(f'{kind}: {detail}')
        self.kind = kind


class Frame(Record):
    """A decoded frame: its message and the request that it belongs to."""

    __slots__ = ('request_id', 'body')
    request_id: int
    body: Record


def message(code: int) -> Callable[[_MessageT], _MessageT]:
    """Register a record class as the message with a type code.

    Parameters
    ----------
    code : int
        Type code in the frame, unique and never reused.

    Raises
    ------
    ValueError
        If the code is taken.
    """

    def decorator(record_type: _MessageT) -> _MessageT:
        holder = _types_by_code.setdefault(code, record_type)
        if holder is not record_type:
            raise ValueError(f'message code {code} is taken by {holder}')
        _codes_by_type[record_type] = code
        return record_type

    return decorator


def encode_frame(body: Record, request_id: int = 0) -> bytes:
    """Encode a registered message, without the length prefix."""
    row = [PROTOCOL_VERSION, _codes_by_type[type(body)], request_id]
    packed: bytes = msgpack.packb([*row, encode_array(body)], use_bin_type=True)
    return packed


def decode_frame(encoded: bytes) -> Frame:
    """Decode a frame without its length prefix.

    Raises
    ------
    MalformedFrame
        If the bytes are no frame of this protocol version.
    """
    version, code, request_id, row = _split(encoded)
    if version != PROTOCOL_VERSION:
        raise MalformedFrame('version', f'found {describe(version)}')
    record_type = _types_by_code.get(code) if isinstance(code, int) else None
    if record_type is None:
        raise MalformedFrame('type', f'unknown code {describe(code)}')
    if not isinstance(request_id, int):
        raise MalformedFrame('shape', 'the request identifier is no integer')
    try:
        body = decode_array(record_type, row)
    except DecodeError as error:
        raise MalformedFrame('fields', str(error)) from error
    return Frame(request_id=request_id, body=body)


def _split(encoded: bytes) -> tuple[Any, Any, Any, Any]:
    try:
        parts = msgpack.unpackb(encoded, raw=False, strict_map_key=False)
    # msgpack raises several unrelated exception types on damaged input.
    except (ValueError, TypeError, RecursionError) as error:
        raise MalformedFrame('msgpack', repr(error)) from error
    if not isinstance(parts, list) or len(parts) != FRAME_FIELDS:
        raise MalformedFrame('shape', f'expected {FRAME_FIELDS} parts')
    return parts[0], parts[1], parts[2], parts[3]

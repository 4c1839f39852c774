"""Registry of message types and their encoding as msgpack."""

from collections.abc import Callable
from typing import Any, Final, TypeVar

import msgpack

from mustardspur_core.conversion import decode_array, encode_array
from mustardspur_core.readers import DecodeError, describe
from mustardspur_core.record import Record
from mustardspur_core.texts import describe_error

PROTOCOL_VERSION: Final = 1
FRAME_FIELDS: Final = 4
# Lists and maps of one frame. An empty one has one byte in a frame and 64 in
# memory, so that a frame of 4 MiB could take 288 MiB.
MAX_CONTAINERS: Final = 262_144

_MessageT = TypeVar('_MessageT', bound=type[Record])
_types_by_code: dict[int, type[Record]] = {}
_codes_by_type: dict[type[Record], int] = {}
# Codes of the messages whose texts may have bytes that are not UTF-8.
_codes_of_any_bytes: set[int] = set()
# How the parsers keep such bytes in text.
_BYTES_IN_TEXT: Final = 'surrogateescape'


class MalformedFrame(ValueError):
    """A frame that is invalid in this protocol version.

    Parameters
    ----------
    kind : str
        Error kind for metrics: ``length``, ``truncated``, ``msgpack``,
        ``shape``, ``version``, ``type`` or ``fields``.
    detail : str
        Description for the log and for the peer.
    """

    def __init__(self, kind: str, detail: str) -> None:
        """Initialise the error with its kind and message."""
        super().__init__(f'{kind}: {detail}')
        self.kind = kind


class Frame(Record):
    """A decoded frame: a message and the identifier of its request."""

    __slots__ = ('request_id', 'body')
    request_id: int
    body: Record


class _ContainerCount:
    """Number of lists and maps of a frame while it is unpacked."""

    __slots__ = ('_left',)

    def __init__(self) -> None:
        self._left = MAX_CONTAINERS

    def add(self, container: Any) -> Any:
        """Count a container and return it."""
        self._left -= 1
        if self._left < 0:
            raise ValueError(f'more than {MAX_CONTAINERS} lists and maps')
        return container


def message(
    code: int,
    *,
    has_any_bytes: bool = False,
) -> Callable[[_MessageT], _MessageT]:
    """Register a record class as the message type with a code.

    Parameters
    ----------
    code : int
        Type code in the frame; it must be unique and is never reused.
    has_any_bytes : bool
        Whether its texts may have bytes that are not UTF-8, as the paths and
        headers of HTTP may.

    Raises
    ------
    ValueError
        If another class is registered with the code.
    """

    def decorator(record_type: _MessageT) -> _MessageT:
        registered = _types_by_code.setdefault(code, record_type)
        if registered is not record_type:
            raise ValueError(
                f'message code {code} is already registered for {registered}',
            )
        _codes_by_type[record_type] = code
        if has_any_bytes:
            _codes_of_any_bytes.add(code)
        return record_type

    return decorator


def encode_frame(body: Record, request_id: int = 0) -> bytes:
    """Encode a registered message without the length prefix."""
    code = _codes_by_type[type(body)]
    errors = _BYTES_IN_TEXT if code in _codes_of_any_bytes else 'strict'
    packed: bytes = msgpack.packb(
        [PROTOCOL_VERSION, code, request_id, encode_array(body)],
        use_bin_type=True,
        unicode_errors=errors,
    )
    return packed


def decode_frame(encoded: bytes) -> Frame:
    """Decode a frame without its length prefix.

    Raises
    ------
    MalformedFrame
        If the bytes are not a valid frame of this protocol version.
    """
    version, code, request_id, fields = _split(encoded)
    if version != PROTOCOL_VERSION:
        raise MalformedFrame('version', f'found {describe(version)}')
    record_type = _types_by_code.get(code) if isinstance(code, int) else None
    if record_type is None:
        raise MalformedFrame('type', f'unknown code {describe(code)}')
    if not isinstance(request_id, int):
        raise MalformedFrame(
            'shape',
            f'expected an integer request id, found {describe(request_id)}',
        )
    try:
        body = decode_array(record_type, fields)
    except DecodeError as error:
        raise MalformedFrame('fields', str(error)) from error
    return Frame(request_id=request_id, body=body)


def _split(encoded: bytes) -> tuple[Any, Any, Any, Any]:
    try:
        parts = _unpack(encoded)
    # msgpack raises several unrelated exception types on invalid input.
    except (ValueError, TypeError, RecursionError) as error:
        raise MalformedFrame('msgpack', describe_error(error)) from None
    if not isinstance(parts, list) or len(parts) != FRAME_FIELDS:
        raise MalformedFrame('shape', f'expected {FRAME_FIELDS} parts')
    return parts[0], parts[1], parts[2], parts[3]


def _unpack(encoded: bytes) -> Any:
    try:
        return _unpack_containers(encoded)
    except UnicodeDecodeError:
        parts = _unpack_containers(encoded, unicode_errors=_BYTES_IN_TEXT)
        if _is_of_any_bytes(parts):
            return parts
        raise


def _unpack_containers(encoded: bytes, **options: Any) -> Any:
    """Return the unpacked frame.

    Raises
    ------
    ValueError
        If it is invalid or has more than `MAX_CONTAINERS`.
    """
    # Shorter frames cannot have more, and need no call for each container.
    if len(encoded) > MAX_CONTAINERS:
        count = _ContainerCount()
        options |= {'list_hook': count.add, 'object_hook': count.add}
    return msgpack.unpackb(
        encoded,
        raw=False,
        strict_map_key=False,
        **options,
    )


def _is_of_any_bytes(parts: Any) -> bool:
    """Return whether a frame is of a type that may have any bytes in text."""
    is_frame = isinstance(parts, list) and len(parts) == FRAME_FIELDS
    return is_frame and parts[1] in _codes_of_any_bytes

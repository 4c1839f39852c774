"""Streams of msgpack frames between mustardspur's own processes."""

from mustardspur_core.wire.codec import (
    PROTOCOL_VERSION,
    Frame,
    MalformedFrame,
    decode_frame,
    encode_frame,
    message,
)
from mustardspur_core.wire.dispatch import Dispatch
from mustardspur_core.wire.silence import end_on_silence
from mustardspur_core.wire.streams import (
    MAX_FRAME_BYTES,
    FrameStream,
    connect_stream,
)

__all__ = [
    'MAX_FRAME_BYTES',
    'PROTOCOL_VERSION',
    'Dispatch',
    'Frame',
    'FrameStream',
    'MalformedFrame',
    'connect_stream',
    'decode_frame',
    'encode_frame',
    'end_on_silence',
    'message',
]

"""Streams of msgpack frames between mustardspur processes."""

from mustardspur_core.wire.codec import (
    PROTOCOL_VERSION,
    Frame,
    MalformedFrame,
    decode_frame,
    encode_frame,
    message,
)
from mustardspur_core.wire.dispatch import MessageDispatcher
from mustardspur_core.wire.first_frames import FirstFrames
from mustardspur_core.wire.silence import raise_on_silence
from mustardspur_core.wire.streams import (
    MAX_FRAME_BYTES,
    FrameStream,
    connect_stream,
)

__all__ = [
    'MAX_FRAME_BYTES',
    'PROTOCOL_VERSION',
    'MessageDispatcher',
    'FirstFrames',
    'Frame',
    'FrameStream',
    'MalformedFrame',
    'connect_stream',
    'decode_frame',
    'encode_frame',
    'raise_on_silence',
    'message',
]

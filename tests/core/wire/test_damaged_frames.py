"""Damaged frames of shared limits, bodies and evacuations at the decoder."""

import asyncio
from contextlib import suppress
from typing import Any, Final

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from mustardspur_core.wire import (
    MAX_FRAME_BYTES,
    FrameStream,
    MalformedFrame,
    decode_frame,
    encode_frame,
)

from tests.support.damaged_frames import (
    DEPTHS,
    damaged_frames,
    nested,
    nested_frames,
    samples,
)

_CODES: Final = (132, 133, 141, 170, 185, 186)


@pytest.mark.parametrize('code', _CODES)
def test_valid_frame_is_decoded(code: int) -> None:
    """Guards against fuzzing of frames that are never valid."""
    body = samples()[code]
    assert decode_frame(encode_frame(body)).body == body


@pytest.mark.parametrize('code', _CODES)
@settings(max_examples=150, deadline=None, derandomize=True)
@given(data=st.data())
def test_damaged_frame_is_malformed(code: int, data: st.DataObject) -> None:
    """Guards against an exception other than MalformedFrame, which would end
    more than the stream.
    """
    with suppress(MalformedFrame):
        assert decode_frame(data.draw(damaged_frames(code))).body


@pytest.mark.parametrize('depth', DEPTHS)
@pytest.mark.parametrize('code', _CODES)
def test_deeply_nested_frame_is_malformed(code: int, depth: int) -> None:
    """Guards against a RecursionError while the error is described."""
    for encoded in nested_frames(code, depth):
        with pytest.raises(MalformedFrame):
            decode_frame(encoded)


@pytest.mark.parametrize('depth', DEPTHS)
def test_deeply_nested_head_is_malformed(depth: int) -> None:
    """Guards against a RecursionError for the other parts of a frame."""
    for place in range(3):
        parts = [b'\x94', b'\x01', b'\xcc\x84', b'\x00', b'\x90']
        parts[place + 1] = nested(depth)
        with pytest.raises(MalformedFrame):
            decode_frame(b''.join(parts))


@pytest.mark.parametrize('excess', [MAX_FRAME_BYTES, 1, -1])
@pytest.mark.parametrize('code', _CODES)
async def test_length_that_does_not_match(code: int, excess: int) -> None:
    """Guards against a stream that waits for a frame that is too long, or
    takes a truncated one.
    """
    encoded = encode_frame(samples()[code])
    reader = asyncio.StreamReader()
    reader.feed_data((len(encoded) + excess).to_bytes(4, 'big'))
    reader.feed_data(encoded)
    reader.feed_eof()
    writer: Any = _NoWriter()
    with pytest.raises(MalformedFrame):
        await FrameStream(reader, writer).receive()


class _NoWriter:
    """Sending side of a stream that is only read."""

    def get_extra_info(self, _: str) -> None:
        """Return no address."""

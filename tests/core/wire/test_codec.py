"""Tests of the encoding of frames and the rejection of invalid ones."""

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st
from mustardspur_core.messages import Busy, Heartbeat, Welcome
from mustardspur_core.wire import MalformedFrame, decode_frame, encode_frame


def test_round_trip_keeps_request_and_fields() -> None:
    """Guards against fields in another order on the wire."""
    body = Welcome(control='c1', confirmed=True)
    frame = decode_frame(encode_frame(body, request_id=7))
    assert frame.request_id == 7
    assert frame.body == body


def test_only_calls_have_bytes_that_are_not_utf8() -> None:
    """Guards against names that cannot be logged, stored or hashed."""
    frame = msgpack.packb([1, 1, 0, [b'\xe9', True]], use_bin_type=False)
    with pytest.raises(MalformedFrame) as caught:
        decode_frame(frame)
    assert caught.value.kind == 'msgpack'


@pytest.mark.parametrize(
    ('parts', 'kind'),
    [
        ([2, 11, 0, [1]], 'version'),
        ([1, 9999, 0, [1]], 'type'),
        ([1, [], 0, [1]], 'type'),
        ([1, 11, 'x', [1]], 'shape'),
        ([1, 11, 0], 'shape'),
        ({}, 'shape'),
        ([1, 11, 0, [1, 2]], 'fields'),
        ([1, 11, 0, ['one']], 'fields'),
        ([1, 11, 0, [True]], 'fields'),
        ([1, 2, 0, ['c1', 1]], 'fields'),
    ],
)
def test_malformed_frames_say_their_kind(parts: object, kind: str) -> None:
    """Guards against a frame of another shape or version being accepted."""
    with pytest.raises(MalformedFrame) as caught:
        decode_frame(msgpack.packb(parts))
    assert caught.value.kind == kind


@given(st.binary(max_size=200))
def test_random_bytes_never_escape_as_other_errors(encoded: bytes) -> None:
    """Guards against a decoder exception other than MalformedFrame."""
    try:
        decode_frame(encoded)
    except MalformedFrame as error:
        assert error.kind


@given(st.data())
def test_flipped_bytes_never_escape_as_other_errors(
    data: st.DataObject,
) -> None:
    """Guards against an unexpected exception for a nearly valid frame."""
    encoded = bytearray(encode_frame(Busy(retry_after_ms=300), 5))
    place = data.draw(st.integers(0, len(encoded) - 1))
    encoded[place] ^= data.draw(st.integers(1, 255))
    try:
        decode_frame(bytes(encoded))
    except MalformedFrame as error:
        assert error.kind


def test_truncated_frame_is_malformed() -> None:
    """Guards against a truncated frame being accepted."""
    encoded = encode_frame(Heartbeat(sequence=1))
    with pytest.raises(MalformedFrame):
        decode_frame(encoded[:-1])

"""Tests of the encoding of frames and the rejection of invalid ones."""

import tracemalloc

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st
from mustardspur_core.conversion import decode_mapping
from mustardspur_core.mesh.control_messages import MeshTargets
from mustardspur_core.messages import Busy, Heartbeat, Welcome
from mustardspur_core.readers import DecodeError, dict_reader, scalar_reader
from mustardspur_core.units import BYTES_PER_MIB
from mustardspur_core.wire import MalformedFrame, decode_frame, encode_frame
from mustardspur_core.wire.codec import MAX_CONTAINERS

from tests.core.mesh.builders import target

_LONG_BYTES = 100_000
_MAX_TEXT_CHARS = 2000
_FRAME_BYTES = 4_000_000
_MEMORY_BYTES = 48 * BYTES_PER_MIB


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


@pytest.mark.parametrize(
    'encoded',
    [
        b'x' * _LONG_BYTES,
        b'\xc7' * _LONG_BYTES,
        msgpack.packb([1, 2, 0, [b'\xff' * _LONG_BYTES, True]]),
        b'\xdb%b%b' % (_LONG_BYTES.to_bytes(4, 'big'), b'\xff' * _LONG_BYTES),
        msgpack.packb([1, 2, 0, ['c1', True]]) + b'x' * _LONG_BYTES,
        msgpack.packb([1, 2, 0, ['x' * _LONG_BYTES, 7]]),
        msgpack.packb([1, 161, 0, {'x' * _LONG_BYTES: 1}]),
        msgpack.packb([1, 'x' * _LONG_BYTES, 0, []]),
    ],
)
def test_malformed_frame_has_a_short_text(encoded: bytes) -> None:
    """Guards against a line of the log, and an answer to the sender, that
    contain a malformed frame.
    """
    with pytest.raises(MalformedFrame) as caught:
        decode_frame(encoded)
    assert len(str(caught.value)) < _MAX_TEXT_CHARS
    assert len(repr(caught.value.__cause__)) < _MAX_TEXT_CHARS


def test_long_names_are_cut_in_the_text_of_an_error() -> None:
    """Guards against a text of an error with the names in what was sent."""
    name = 'x' * _LONG_BYTES
    with pytest.raises(DecodeError) as unknown:
        decode_mapping(Welcome, {name: 1})
    with pytest.raises(DecodeError) as nested:
        dict_reader(scalar_reader(int))({name: 'one'}, 'counts')
    assert len(str(unknown.value)) < _MAX_TEXT_CHARS
    assert len(str(nested.value)) < _MAX_TEXT_CHARS
    assert str(nested.value).startswith('counts.xxx')
    assert str(nested.value).endswith("expected int, found str 'one'")


@pytest.mark.parametrize(
    'unit', [b'\x90', b'\x80', b'\x91\x90', b'\x92\xa0\xa0']
)
@pytest.mark.parametrize('code', [161, 165, 2])
def test_small_containers_do_not_fill_the_memory(
    unit: bytes,
    code: int,
) -> None:
    """Guards against a process that is killed for one frame of many lists,
    each of which takes 64 times its bytes.
    """
    count = _FRAME_BYTES // len(unit)
    fields = b'\xdd%b%b' % (count.to_bytes(4, 'big'), unit * count)
    frame = b'\x94\x01%b\x00%b' % (msgpack.packb(code), fields)
    tracemalloc.start()
    with pytest.raises(MalformedFrame):
        decode_frame(frame)
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak_bytes < _MEMORY_BYTES


def test_largest_frame_of_targets_is_read() -> None:
    """Guards against a limit that a sound frame exceeds."""
    sound = [target(str(number)) for number in range(12_000)]
    update = MeshTargets(full=True, upserts=sound, removed=[])
    encoded = encode_frame(update)
    assert len(encoded) > MAX_CONTAINERS
    assert decode_frame(encoded).body == update

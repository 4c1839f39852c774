"""Guards against damage that the scan of a file does not find."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from mustardspur_agreement.records import FileState, encode_record, scan

FIRST = encode_record(b'first entry')
SECOND = encode_record(b'second entry, longer \0\0')
WHOLE = FIRST + SECOND


def test_whole_file_is_read() -> None:
    """Guards against losing a record of an undamaged file."""
    found = scan(WHOLE)
    assert found.payloads == [b'first entry', b'second entry, longer \0\0']
    assert found.state is FileState.WHOLE


@given(st.integers(1, len(SECOND) - 1), st.booleans())
def test_write_cut_short_is_torn(missing: int, zeros: bool) -> None:
    """Guards against a torn tail being taken for damage or for a record."""
    cut = WHOLE[:-missing]
    # A single zero byte may be damage as well, so it counts as damage.
    filled = cut + bytes(missing) if zeros and missing > 1 else cut
    found = scan(filled)
    assert found.payloads == [b'first entry']
    assert found.length == len(FIRST)
    assert found.state is FileState.TORN


@given(st.integers(0, len(WHOLE) - 1), st.integers(1, 255))
def test_flipped_byte_is_damage(place: int, mask: int) -> None:
    """Guards against damage being cut as if it had never been durable."""
    damaged = bytearray(WHOLE)
    damaged[place] ^= mask
    found = scan(bytes(damaged))
    assert found.state is FileState.DAMAGED
    assert len(found.payloads) == int(place >= len(FIRST))


@pytest.mark.parametrize(
    ('rest', 'state'),
    [
        (b'', FileState.WHOLE),
        (b'\0' * 3, FileState.TORN),
        (b'\0' * 4096, FileState.TORN),
        (bytes(4096).join([b'', b'x']), FileState.DAMAGED),
        (b'garbage behind the last record', FileState.DAMAGED),
    ],
)
def test_bytes_after_the_records(rest: bytes, state: FileState) -> None:
    """Guards against confusing an incomplete write with damage."""
    assert scan(WHOLE + rest).state is state

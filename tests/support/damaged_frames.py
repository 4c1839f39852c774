"""Valid frames of shared limits, bodies and evacuations, and damaged ones."""

from itertools import repeat
from typing import Any, Final

import msgpack
from hypothesis import strategies as st
from mustardspur_core.conversion import encode_array
from mustardspur_core.mesh.call_messages import BodyCredit
from mustardspur_core.mesh.control_messages import (
    AllowanceDemand,
    AllowanceGrant,
    AllowanceRequest,
    AllowanceShare,
    AllowanceUse,
    LimitDemand,
)
from mustardspur_core.mesh.entries import EvacuateDataCentre, ReadmitDataCentre
from mustardspur_core.record import Record

LIMIT: Final = 'account/cafe'
# Deeper than Python can represent, and deeper than msgpack can read.
DEPTHS: Final = (3, 60, 980, 1010, 1030, 100_000)
# Bytes of an oversized value; a frame may have 4 MiB.
_LARGE: Final = 100_000
NUMBERS: Final = (
    -(2**63),
    -1,
    0,
    3,
    100,
    1_000_000,
    2**31,
    2**64 - 1,
    -1.5,
    0.5,
    1e300,
    float('nan'),
    float('inf'),
    float('-inf'),
)
_SCALARS = (
    st.none()
    | st.booleans()
    | st.sampled_from(NUMBERS)
    | st.sampled_from([b'', b'x' * _LARGE, 'x' * _LARGE, LIMIT])
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=8)
    | st.binary(max_size=8)
)
_ANYTHING = st.recursive(
    _SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=6,
)


def samples() -> dict[int, Record]:
    """Return a valid message of each type, by its code."""
    return {
        132: AllowanceRequest(
            uses=[AllowanceUse(limit=LIMIT, spent=1, wanted=2, calls=3)],
        ),
        133: AllowanceGrant(
            grants=[
                AllowanceShare(
                    limit=LIMIT,
                    tokens=2,
                    valid_ms=1000.0,
                    relaxed=True,
                    retry_after_ms=0,
                ),
            ],
        ),
        141: AllowanceDemand(
            full=False,
            demands=[LimitDemand(limit=LIMIT, per_s=2.5)],
        ),
        170: BodyCredit(bytes=8192),
        185: EvacuateDataCentre(
            data_centre='split-a', known=['split-a', 'split-b']
        ),
        186: ReadmitDataCentre(data_centre='split-a'),
    }


def encoded_parts(code: int) -> list[Any]:
    """Return the plain values of a valid frame."""
    return [1, code, 1, encode_array(samples()[code])]


def nested(depth: int) -> bytes:
    """Return encoded lists, one in the other."""
    return bytes(1).rjust(depth + 1, b'\x91')


def nested_frames(code: int, depth: int) -> list[bytes]:
    """Return frames whose fields, and first field, are nested lists."""
    head = bytes((0x94, 1, 0xCC, code, 0))
    return [b''.join((head, nested(each))) for each in (depth, depth + 1)]


def _paths(value: Any, path: tuple[int, ...] = ()) -> list[tuple[int, ...]]:
    found = [path] if path else []
    if isinstance(value, list):
        for index, child in enumerate(value):
            found.extend(_paths(child, (*path, index)))
    return found


@st.composite
def damaged_frames(draw: st.DrawFn, code: int) -> bytes:
    """Draw a frame that is truncated, oversized or has a changed value."""
    parts = encoded_parts(code)
    path = draw(st.sampled_from(_paths(parts)))
    inner = parts
    for index in path[:-1]:
        inner = inner[index]
    kind = draw(st.sampled_from(['changed', 'longer', 'shorter', 'truncated']))
    if kind == 'changed':
        inner[path[-1]] = draw(_ANYTHING)
    elif kind == 'longer':
        inner.extend(repeat(inner[0], draw(st.sampled_from([1, 5000]))))
    elif kind == 'shorter':
        inner.pop(path[-1])
    encoded: bytes = msgpack.packb(parts)
    if kind == 'truncated':
        return encoded[: draw(st.integers(0, len(encoded) - 1))]
    return encoded

"""Tests of calls whose bodies are received in parts."""

import sys

import pytest
from mustardspur_core.mesh.call_messages import CallPart
from mustardspur_core.units import BYTES_PER_MIB
from mustardspur_core.wire import MalformedFrame
from mustardspur_node.mesh.body_room import ROOM_PART, BodyRoom
from mustardspur_node.mesh.calls import PlacementFault
from mustardspur_node.mesh.partial_calls import PartialCalls

from tests.node.mesh.builders import call_open

_MEMORY_MB = 1
_ROOM_BYTES = int(_MEMORY_MB * ROOM_PART * BYTES_PER_MIB)
_LINE = 'x' * 10_000


def _open_until_refused(calls: PartialCalls) -> int:
    """Open calls with long heads; return how many found room."""
    opened = 0
    headers = [['x-name', _LINE] for _ in range(10)]
    with pytest.raises(PlacementFault, match='busy'):
        while opened < 1000:
            calls.open(opened, call_open(headers=headers, more=True))
            opened += 1
    return opened


def test_heads_of_unfinished_calls_are_counted() -> None:
    """Guards against a node that is killed for the heads of calls whose
    bodies never arrive.
    """
    room = BodyRoom(_MEMORY_MB)
    calls = PartialCalls(room)
    assert _open_until_refused(calls) <= _ROOM_BYTES // 100_000
    assert room.held_bytes <= _ROOM_BYTES
    calls.discard_all()
    assert room.held_bytes == 0


def test_first_part_is_held_once() -> None:
    """Guards against unfinished calls that take twice the counted memory."""
    calls = PartialCalls()
    body = bytes(1000)
    held = sys.getrefcount(body)
    calls.open(1, call_open(body=body, more=True))
    assert sys.getrefcount(body) == held
    complete = calls.add(1, CallPart(body=b'end', more=False))
    assert complete is not None
    assert complete.body == b'%bend' % body


def test_call_is_opened_once() -> None:
    """Guards against bytes that stay counted once a call is opened again."""
    calls = PartialCalls()
    calls.open(1, call_open(more=True))
    with pytest.raises(MalformedFrame):
        calls.open(1, call_open(more=True))

"""Tests of callers that stall while others wait for room."""

import asyncio
import gc
import weakref
from typing import Final

from aiohttp.http_parser import RawRequestMessage
from mustardspur_core.held_bytes import STALL_S, HeldBytes, HeldShare
from mustardspur_node.mesh.caller_answers import CallerAnswer
from mustardspur_node.mesh.caller_connection import CallerConnection
from mustardspur_node.mesh.request_body import RequestBody

from tests.core.mesh.builders import LIMITS
from tests.support.virtual_time import in_virtual_time

# The account holds five requests.
_MEMORY_MB: Final = 1.0
_GET: Final = b'GET /a HTTP/1.1\r\nhost: h\r\n\r\n'
_PART: Final = 1000
_POST: Final = b'POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n' % (
    3 * _PART
)


class _Transport(asyncio.Transport):
    """Keeps all that is written, and reports its loss after an abort."""

    def __init__(self, protocol: CallerConnection) -> None:
        super().__init__()
        self._protocol = protocol
        self.unsent = 0
        self.is_aborted = False
        protocol.connection_made(self)

    def set_write_buffer_limits(
        self,
        high: int | None = None,
        low: int | None = None,
    ) -> None:
        """Accept any limit."""

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def write(self, written: bytes | bytearray | memoryview) -> None:
        self.unsent += len(written)
        self._protocol.pause_writing()

    def pause_reading(self) -> None:
        """Read nothing; the tests send what they like."""

    def resume_reading(self) -> None:
        """Read on."""

    def is_closing(self) -> bool:
        return self.is_aborted

    def abort(self) -> None:
        if not self.is_aborted:
            self.is_aborted = True
            loop = asyncio.get_running_loop()
            loop.call_soon(self._protocol.connection_lost, None)


class _Node:
    """Reads bodies, and answers once they are read."""

    def __init__(self) -> None:
        self.held = HeldBytes(_MEMORY_MB)

    def connect(self) -> CallerConnection:
        return CallerConnection(lambda: LIMITS, self.answer, bool, self.held)

    async def answer(
        self,
        _: RawRequestMessage,
        body: RequestBody,
    ) -> CallerAnswer:
        await body()
        return CallerAnswer(
            status=200, reason='OK', headers=[], body=b'', closes=False
        )

    def fill(self) -> HeldShare:
        """Fill the account with requests that run."""
        running = HeldShare(self.held, lambda: None, bool)
        running.resize(self.held.limit_bytes)
        return running


async def _send_and_leave(node: _Node) -> 'weakref.ref[_Transport]':
    protocol = node.connect()
    transport = _Transport(protocol)
    protocol.data_received(_GET)
    await asyncio.sleep(0.01)
    transport.abort()
    await asyncio.sleep(0.01)
    return weakref.ref(transport)


async def _has_room_after_stall(node: _Node) -> bool:
    """Return whether a further request gets room beside a stalled caller."""
    node.fill()
    has_room = asyncio.Event()
    node.held.wait(has_room.set)
    await asyncio.sleep(2 * STALL_S)
    return node.held.closed > 0


@in_virtual_time
async def test_stalled_small_bodies_give_way() -> None:
    """Guards against small bodies that stop short of their end, and keep all
    other callers out until their deadlines.
    """
    node = _Node()
    protocol = node.connect()
    transport = _Transport(protocol)
    protocol.data_received(_POST)
    for _ in range(2):
        protocol.data_received(bytes(_PART))
        await asyncio.sleep(0.01)  # noqa: WPS476
    assert await _has_room_after_stall(node)
    assert transport.is_aborted


@in_virtual_time
async def test_callers_that_only_send_give_way() -> None:
    """Guards against callers that read no answer, send small requests, and
    keep all others out.
    """
    node = _Node()
    protocol = node.connect()
    transport = _Transport(protocol)
    for _ in range(3):
        protocol.data_received(_GET)
        await asyncio.sleep(0.01)  # noqa: WPS476
    assert transport.unsent
    assert await _has_room_after_stall(node)
    assert transport.is_aborted


@in_virtual_time
async def test_callers_that_leave_are_forgotten() -> None:
    """Guards against memory that grows with each caller that comes, sends a
    request, and leaves while there is no room.
    """
    node = _Node()
    running = node.fill()
    left = await _send_and_leave(node)
    gc.collect()
    assert left() is None
    assert running.size


@in_virtual_time
async def test_waiting_callers_do_not_fill_the_account() -> None:
    """Guards against a node that answers nobody any more, since what callers
    sent while they waited for room takes all of it.
    """
    node = _Node()
    running = node.fill()
    callers = [node.connect() for _ in range(10)]
    transports = [_Transport(each) for each in callers]
    for caller in callers:
        caller.data_received(_GET * 600)
    running.release()
    await asyncio.sleep(20 * STALL_S)
    assert all(each.unsent or each.is_aborted for each in transports)


class _Body:
    """A body of a call."""


class _Calls:
    """Calls that hold their bodies and run until they are cancelled."""

    def __init__(self) -> None:
        self.bodies: weakref.WeakSet[_Body] = weakref.WeakSet()

    async def answer(self, *_: object) -> CallerAnswer:
        body = _Body()
        self.bodies.add(body)
        await asyncio.Event().wait()
        raise AssertionError(body)


@in_virtual_time
async def test_calls_of_callers_that_left_are_forgotten() -> None:
    """Guards against a node that holds the bodies of callers that left, as
    long as it has their connections.
    """
    calls = _Calls()
    caller = CallerConnection(lambda: LIMITS, calls.answer, bool, HeldBytes())
    transport = _Transport(caller)
    caller.data_received(_GET)
    await asyncio.sleep(STALL_S)
    assert calls.bodies
    transport.abort()
    await asyncio.sleep(STALL_S)
    assert not calls.bodies


@in_virtual_time
async def test_bytes_of_callers_that_left_are_forgotten() -> None:
    """Guards against a node that holds what callers had sent before they left,
    as long as it has their connections.
    """
    node = _Node()
    running = node.fill()
    caller = node.connect()
    transport = _Transport(caller)
    caller.data_received(_POST)
    assert caller.room.intake.unparsed
    transport.abort()
    await asyncio.sleep(STALL_S)
    assert not caller.room.intake.unparsed
    assert caller.room.intake.parser is None
    assert running.size

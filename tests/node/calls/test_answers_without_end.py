"""Guards against what answers without end take of a node."""

import asyncio
import gc
from collections.abc import AsyncIterator, Callable, Iterator, Mapping
from contextlib import asynccontextmanager, closing, contextmanager
from types import MappingProxyType
from typing import Any, Final

import pytest
from aiohttp import ClientResponse, StreamReader
from aiohttp.client_proto import ResponseHandler
from mustardspur_core.inbound_reads import READ_BYTES, TURN_BYTES
from mustardspur_core.read_turns import ReadTurns
from mustardspur_node.calls.attempts import AttemptError
from mustardspur_node.calls.target_connections import TargetConnection

from tests.node.stand_ins.mesh import HANG_S, Mesh, run_mesh
from tests.node.stand_ins.scripted import (
    CLOSE,
    ENDLESS,
    GOOD,
    KEEP,
    ScriptedTarget,
    Step,
    run_scripted,
)
from tests.node.stand_ins.views import make_target, make_view

_HEAD: Final = b'HTTP/1.1 200 OK\r\n'
_CHUNKED: Final = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
_REQUEST: Final = (
    b'POST /prescriptions HTTP/1.1\r\nhost: n\r\n'
    b'connection: close\r\ncontent-length: 0\r\n\r\n'
)
_DEADLINE: Final = b'x-mustardspur-deadline-ms: 200\r\n\r\n'
_CALLS: Final = 12
# What the kernel may take in for both ends of two connections, which is not
# read by the caller.
_KERNEL_BYTES: Final = 33_554_432
_LONG_BYTES: Final = 20_000_000
FAULTS: Mapping[str, Step] = MappingProxyType(
    {
        'letters': (b'x' * 60_000, ENDLESS),
        'header lines': (b''.join((_HEAD, b'a: b\r\n' * 10_000)), ENDLESS),
        'bad chunk': (b''.join((_CHUNKED, b'zz\r\n')), ENDLESS),
        'cut body': (
            b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ngood',
            CLOSE,
        ),
        'cut long body': (
            b'HTTP/1.1 200 OK\r\ncontent-length: 99999\r\n\r\ngood',
            CLOSE,
        ),
        'no answer': (b'', KEEP),
        'open head': (_HEAD, KEEP),
        'open body': (b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ngo', KEEP),
        'open long body': (b''.join((_CHUNKED, b'1\r\na\r\n')), KEEP),
        'endless body': (
            b'HTTP/1.1 200 OK\r\ncontent-length: 900000000000\r\n\r\n',
            ENDLESS,
        ),
        'refusal': (
            b'HTTP/1.1 503 Busy\r\nx-mustardspur-refused: 1\r\n'
            b'transfer-encoding: chunked\r\n\r\n',
            ENDLESS,
        ),
    },
)
# Objects that hold what was received.
_HOLDERS: Final = (AttemptError, ClientResponse, ResponseHandler, StreamReader)


@asynccontextmanager
async def _node(*steps: Step) -> AsyncIterator[tuple[Mesh, ScriptedTarget]]:
    async with (
        run_scripted(*steps) as (address, target),
        run_mesh(make_view([make_target(address)])) as mesh,
    ):
        yield mesh, target


@contextmanager
def _no_collection() -> Iterator[None]:
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def _held() -> int:
    """Count the objects that hold what was received."""
    return sum(isinstance(each, _HOLDERS) for each in gc.get_objects())


@pytest.mark.parametrize('fault', FAULTS)
async def test_failed_calls_leave_nothing(fault: str) -> None:
    """Guards against failed calls that keep what was received until a garbage
    collection, which is rare.
    """
    async with _node(*(FAULTS[fault] for _ in range(_CALLS))) as (mesh, target):
        request = b''.join((_REQUEST[:-2], _DEADLINE))
        with _no_collection():
            before = _held()
            while target.requests < _CALLS:
                await mesh.raw(request)
            # A round of the event loop for the connections that are lost.
            await asyncio.sleep(0.1)
            left = _held() - before
    # Fewer than one a call.
    assert left < _CALLS / 2


async def test_target_does_not_take_up_the_loop() -> None:
    """Guards against a target whose chunks of one byte are handled in reads
    so long that nothing else is served.
    """
    async with _node((_CHUNKED, ENDLESS)) as (mesh, target):
        target.endless_unit = b'1\r\na\r\n'
        counted = _Turns()
        counting = asyncio.create_task(counted.count())
        await mesh.raw(_REQUEST)
        counting.cancel()
    assert target.endless_bytes
    assert target.endless_bytes < counted.turns * READ_BYTES


class _Turns:
    """Counts the turns of the event loop."""

    def __init__(self) -> None:
        self.turns = 0

    async def count(self) -> None:
        while True:
            await asyncio.sleep(0)
            self.turns += 1


class _RecordedReads:
    """Sizes of what connections to targets receive at a time."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Record from now on."""
        self.sizes: list[int] = []
        self._receive = TargetConnection.data_received
        monkeypatch.setattr(
            TargetConnection,
            'data_received',
            lambda connection, data: self._record(connection, data),
        )

    def _record(self, connection: TargetConnection, received: bytes) -> None:
        self.sizes.append(len(received))
        self._receive(connection, received)


@pytest.mark.parametrize(
    'body', [b'a line of text.\n' * 32_768, bytes(range(128)) * 4096]
)
async def test_ordinary_bodies_are_read_whole(
    body: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against long answers of text or compressed bytes that are read in
    small parts, and take as long as the event loop is busy.
    """
    reads = _RecordedReads(monkeypatch)
    sent = b'%scontent-length: %d\r\n\r\n%s' % (_HEAD, len(body), body)
    async with _node((sent, CLOSE)) as (mesh, _):
        await mesh.raw(_REQUEST)
    assert TURN_BYTES < max(reads.sizes) <= READ_BYTES


async def test_slow_caller_pauses_the_target() -> None:
    """Guards against an answer that is kept while its caller reads nothing."""
    length = b'content-length: 900000000000\r\n\r\n'
    async with _node((_HEAD + length, ENDLESS)) as (mesh, target):
        host, _, port = mesh.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        with closing(writer):
            writer.write(_REQUEST)
            sent = -1
            while sent != target.endless_bytes or not sent:
                sent = target.endless_bytes
                await asyncio.sleep(0.2)
    assert sent < _KERNEL_BYTES


def _long(is_chunked: bool) -> bytes:
    body = bytes(_LONG_BYTES)
    if is_chunked:
        part = b''.join((b'10000\r\n', bytes(0x10000), b'\r\n'))
        count, left = divmod(_LONG_BYTES, 0x10000)
        last = b''.join((b'%x\r\n' % left, bytes(left), b'\r\n0\r\n\r\n'))
        return b''.join((_CHUNKED, part * count, last))
    return b''.join((_HEAD, b'content-length: %d\r\n\r\n' % len(body), body))


@pytest.mark.parametrize('after', [KEEP, ENDLESS])
@pytest.mark.parametrize('is_chunked', [False, True], ids=['sized', 'chunked'])
async def test_long_answer_is_whole(is_chunked: bool, after: str) -> None:
    """Guards against a bound that cuts a legal answer, also if bytes that
    belong to no call follow it.
    """
    async with _node((_long(is_chunked), after)) as (mesh, _):
        async with asyncio.timeout(HANG_S):
            answer: Any = await mesh.call('GET', '/stock')
    assert answer[0] == 200
    assert len(answer[2]) == _LONG_BYTES


@pytest.mark.parametrize('line', [b'a: b\r\n', b'a: %b\r\n' % b'c'.ljust(6000)])
async def test_long_head_is_whole(line: bytes) -> None:
    """Guards against a bound that refuses a legal head."""
    head, _, body = GOOD.partition(b'\r\n\r\n')
    lines = line * min(30_000 // len(line), 100)
    answer = b''.join((head, b'\r\n', lines, b'\r\n', body))
    async with _node((answer, KEEP)) as (mesh, _):
        assert await mesh.call('GET', '/stock') == (200, None, b'good')


@pytest.mark.parametrize(
    ('stated', 'expected'),
    [
        (b'18446744073709551615', (502, 'unknown')),
        (b'9' * 19, (502, 'unknown')),
        (b'%s4' % (b'0' * 5000), (502, 'unknown')),
        (b'%s4' % (b'0' * 20), (200, None)),
    ],
)
async def test_odd_lengths_are_read(
    stated: bytes, expected: tuple[int, str | None]
) -> None:
    """Guards against an answer without its body, since the parser takes its
    length for none, and against an unexpected error.
    """
    answer = b'%scontent-length: %s\r\n\r\ngood' % (_HEAD, stated)
    async with _node((answer, KEEP)) as (mesh, _):
        received = await mesh.call('POST', '/prescriptions', data=b'rx')
    assert received[:2] == expected


@pytest.mark.parametrize('status', [b'000', b'099', b'600', b'999'])
async def test_status_that_is_none_is_no_answer(status: bytes) -> None:
    """Guards against callers that get a status that is none of HTTP."""
    answer = b'HTTP/1.1 %s A\r\ncontent-length: 0\r\n\r\n' % status
    async with _node((answer, KEEP)) as (mesh, _):
        received = await mesh.call('POST', '/prescriptions', data=b'rx')
    assert received[:2] == (502, 'unknown')


async def test_whole_answer_before_letters_is_delivered() -> None:
    """Guards against a whole answer that is lost for what follows it."""
    async with _node((GOOD, ENDLESS)) as (mesh, target):
        answer = await mesh.call('POST', '/prescriptions', data=b'rx')
        after = await mesh.call('POST', '/prescriptions', data=b'rx')
    assert answer == (200, None, b'good')
    assert after == (200, None, b'good')
    assert target.connections == 2


@pytest.mark.parametrize(
    'begin',
    [b'1;a=', b'1\r\na\r\n0\r\n', b''],
    ids=['extension', 'trailers', 'size'],
)
async def test_chunks_without_payload_end_the_answer(begin: bytes) -> None:
    """Guards against an answer that goes on to its deadline, without a part of
    its body, as long as the target sends extensions, trailers or a size.
    """
    units = {b'1;a=': b'b', b'': b'0'}
    async with _node((b''.join((_CHUNKED, begin)), ENDLESS)) as (mesh, target):
        target.endless_unit = units.get(begin, b'a: b\r\n')
        await mesh.raw(_REQUEST)
    assert target.endless_bytes < _KERNEL_BYTES


async def test_failed_keyed_calls_leave_nothing() -> None:
    """Guards against the faults of calls with an idempotency key that keep
    what was received, for as long as the key is known.
    """
    head = b'HTTP/1.1 200 OK\r\ncontent-length: 900000000000\r\n\r\n'
    steps = [(head, ENDLESS) for _ in range(_CALLS)]
    async with _node(*steps) as (mesh, target):
        with _no_collection():
            before = _held()
            while target.requests < _CALLS:
                headers = {'idempotency-key': f'k{target.requests}'}
                answer = await mesh.call(
                    'POST', '/prescriptions', headers=headers
                )
                assert answer[:2] == (502, 'unknown')
            await asyncio.sleep(0.1)
            left = _held() - before
    assert left < _CALLS / 2


async def test_hedged_calls_leave_nothing() -> None:
    """Guards against a second attempt whose error is kept with what it has
    received until a garbage collection.
    """
    once = {'attempts': 1, 'budget_ratio': 0, 'hedge_after_ms': 0}
    hedged = {'attempts': 2, 'budget_ratio': 1, 'hedge_after_ms': 20}
    steps = [FAULTS['no answer'] for _ in range(2 * _CALLS)]
    request = b''.join((b'GET /stock HTTP/1.1\r\nhost: n\r\n', _DEADLINE))
    async with (
        run_scripted(*steps) as (first, _),
        run_scripted(*steps) as (second, _),
        run_mesh(
            make_view(
                [make_target(first), make_target(second)],
                retries={'once': once, 'fetch': hedged},
            ),
        ) as mesh,
    ):
        with _no_collection():
            before = _held()
            await _repeat(mesh, request)
            left = _held() - before
    assert left < _CALLS / 2


async def _repeat(mesh: Mesh, request: bytes) -> None:
    """Make a call again and again on connections of their own."""
    request = request.replace(b'host', b'connection: close\r\nhost')
    for _ in range(_CALLS):
        await mesh.raw(request)  # noqa: WPS476
    # A round of the event loop for the connections that are lost.
    await asyncio.sleep(0.1)


class _CountedTurns:
    """Turns that come at once and are counted."""

    def __init__(self) -> None:
        self.lines = 0

    def wait(self, lines: int, handle: Callable[[], None]) -> None:
        self.lines += lines
        asyncio.get_running_loop().call_soon(handle)


async def test_lines_of_a_stated_body_take_no_turns(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a slow text whose lines the parser does not look at."""
    turns = _CountedTurns()
    monkeypatch.setattr(ReadTurns, 'wait', turns.wait)
    body = b'a line\n' * 100_000
    length = b'content-length: %d\r\n\r\n' % len(body)
    async with _node((b''.join((_HEAD, length, body)), KEEP)) as (mesh, _):
        answer = await mesh.call('GET', '/stock')
    assert answer == (200, None, body)
    # The first read has the head.
    assert turns.lines <= READ_BYTES // len(b'a line\n')

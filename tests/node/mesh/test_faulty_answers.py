"""Tests of targets that send bytes that are no answer, without end."""

import asyncio
from itertools import repeat
from typing import Any, Final

import pytest
from aiohttp.http_parser import RawResponseMessage
from mustardspur_core.inbound_reads import MAX_READ_BYTES, TURN_BYTES
from mustardspur_core.mesh.call_messages import TargetLoad
from mustardspur_node.mesh.answer_budget import AnswerBudget
from mustardspur_node.mesh.answer_parser import BrokenAnswer, RawAnswer
from mustardspur_node.mesh.calls import PlacementFault
from mustardspur_node.mesh.target_connection import TargetConnection

from tests.node.mesh.builders import call_open, local_target
from tests.node.stand_ins.memory import uncollected_memory
from tests.node.stand_ins.scripted import CLOSE, run_scripted

_READ_BYTES: Final = 16_384
_ANSWER_BYTES: Final = 1_048_576
_CALLS: Final = 20
_HANG_S: Final = 5
_MARK: Final = b'mark'
_MARKS: Final = _MARK * (_READ_BYTES // len(_MARK))
_TEXT: Final = b'a line of text.\n' * 512
# Every byte as often as in a compressed body.
_ALL_BYTES: Final = bytes(range(256)) * 32
_HEAD: Final = b'HTTP/1.1 200 OK\r\n'
_CHUNKED: Final = b'%stransfer-encoding: chunked\r\n\r\n' % _HEAD
_MANY_CHUNKS: Final = b'%s%s0\r\n' % (
    _CHUNKED,
    b'1000\r\n%s\r\n' % _MARKS[:4096] * 200,
)
_OTHER: Final = b'%sx-request-id: z\r\ncontent-length: %d\r\n\r\n%s' % (
    _HEAD,
    len(_MARKS),
    _MARKS,
)


async def _ignore(_: TargetLoad) -> None:
    """Do nothing when the call may run."""


class _Transport(asyncio.Transport):
    """A transport that only records how it ends."""

    def __init__(self) -> None:
        """Initialise an open transport."""
        super().__init__()
        self.is_aborted = False

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def get_write_buffer_size(self) -> int:
        return 0

    def write(self, data: Any) -> None:
        """Discard the bytes."""

    def is_closing(self) -> bool:
        return self.is_aborted

    def abort(self) -> None:
        self.is_aborted = True

    def close(self) -> None:
        self.is_aborted = True


def _is_own(message: RawResponseMessage) -> bool:
    return 'x-request-id' not in message.headers


class _Exchange:
    """An exchange whose answer arrives in reads of the test."""

    def __init__(self, method: str = 'GET') -> None:
        """Start the exchange."""
        loop = asyncio.get_running_loop()
        self.transport = _Transport()
        self.budget = AnswerBudget(2 * _ANSWER_BYTES)
        self._connection = TargetConnection(loop, self.budget)
        self._connection.connection_made(self.transport)
        self._answer = loop.create_task(
            self._connection.exchange(method, b'', b'', _is_own),
        )

    def receive(self, part: bytes) -> bool:
        """Receive a read, and return whether the connection is open."""
        self._connection.data_received(part)
        return not self.transport.is_aborted

    async def answer(self, first: bytes, unit: bytes = b'') -> RawAnswer:
        """Return the answer to which bytes are sent until it is over."""
        await asyncio.sleep(0)
        if first:
            self._connection.data_received(first)
        for part in repeat(unit):
            if self._answer.done() or not unit:
                break
            self._connection.data_received(part)
            await asyncio.sleep(0)  # noqa: WPS476
        async with asyncio.timeout(_HANG_S):
            return await self._answer


class _Reads:
    """Bytes that arrive in reads of an exchange until its answer is over."""

    def __init__(self, first: bytes, unit: bytes, size: int) -> None:
        """Initialise with a first part and a number of bytes of another."""
        count = size // len(unit) if unit else 0
        self._sent = first + unit * count
        self.unsent_bytes = len(self._sent)

    async def answer(self) -> RawAnswer:
        """Return the answer."""
        exchange = _Exchange()
        await asyncio.sleep(0)
        for start in range(0, len(self._sent), _READ_BYTES):
            part = self._sent[start : start + _READ_BYTES]
            if not exchange.receive(part):
                break
            self.unsent_bytes -= len(part)
        return await exchange.answer(b'')


_FAULTY: Final = (
    ('no HTTP', b'', _MARKS, 'no answer: malformed head'),
    ('lines', _HEAD, b'%s\r\n' % _MARKS, 'no answer: malformed head'),
    ('header line', b'%sa: ' % _HEAD, _MARKS, 'head has too long a line'),
    ('header lines', _HEAD, b'a: %s\r\n' % _MARKS, 'no answer: head too long'),
    ('empty lines', b'', b'\r\n' * 8192, 'no answer: head too long'),
    ('trailer', b'%s0\r\na: ' % _CHUNKED, _MARKS, 'answer broke off: '),
    ('size of a chunk', _CHUNKED, _MARKS, 'answer broke off: malformed body'),
    ('to the end', b'%s\r\n' % _HEAD, _MARKS, 'answer broke off: '),
    ('answers to others', b'', _OTHER, 'answers belong to other requests'),
    ('switch', b'HTTP/1.1 101 A\r\nupgrade: b\r\n\r\n', _MARKS, 'no answer: '),
)


@pytest.mark.parametrize(('name', 'first', 'unit', 'reason'), _FAULTY)
async def test_reason_has_no_received_bytes(
    name: str, first: bytes, unit: bytes, reason: str
) -> None:
    """Guards against a line of the log, and a message to another node, that
    carry what a target sends without end.
    """
    with pytest.raises(BrokenAnswer, match=reason) as failure:
        await _Exchange().answer(first, unit)
    assert _MARK.decode() not in str(failure.value), name
    assert len(str(failure.value)) < 80


@pytest.mark.parametrize(('name', 'first', 'unit', 'reason'), _FAULTY)
async def test_failed_exchange_holds_no_received_bytes(
    name: str, first: bytes, unit: bytes, reason: str
) -> None:
    """Guards against failed calls that hold what they received until a
    garbage collection, and end the process for its memory.
    """
    with uncollected_memory() as allocated:
        failures = await _failures(first, unit)
        assert allocated() < _CALLS * len(_MARKS) // 2, name
    assert all(reason in str(failure) for failure in failures)


async def _failures(first: bytes, unit: bytes) -> list[BrokenAnswer]:
    return [
        await _failure(first, unit)  # noqa: WPS476
        for _ in range(_CALLS)
    ]


async def _failure(first: bytes, unit: bytes) -> BrokenAnswer:
    try:
        await _Exchange().answer(first, unit)
    except BrokenAnswer as failure:
        return failure
    raise AssertionError('the answer is complete')


async def test_connection_ends_at_the_first_faulty_read() -> None:
    """Guards against bytes that are received after an answer has failed."""
    exchange = _Exchange()
    pending = asyncio.create_task(exchange.answer(_MARKS))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert exchange.transport.is_aborted
    await asyncio.gather(pending, return_exceptions=True)
    assert exchange.budget.held_bytes == 0


async def test_connection_ends_with_what_follows_an_answer() -> None:
    """Guards against bytes without end behind a whole answer."""
    exchange = _Exchange()
    answer = await exchange.answer(
        b'%scontent-length: 4\r\n\r\ngood%s' % (_HEAD, _MARKS),
    )
    assert answer.body == b'good'
    assert exchange.transport.is_aborted


@pytest.mark.parametrize(
    ('name', 'first', 'rest'),
    [
        ('length', b'%scontent-length: 4\r\n\r\ngo' % _HEAD, b'od'),
        ('chunks', b'%s2\r\ngo\r\n' % _CHUNKED, b'2\r\nod\r\n0\r\n\r\n'),
    ],
)
async def test_answer_is_whole_before_invalid_bytes(
    name: str, first: bytes, rest: bytes
) -> None:
    """Guards against the loss of a whole answer whose last part arrives in
    one read with invalid bytes.
    """
    exchange = _Exchange()
    await asyncio.sleep(0)
    exchange.receive(first)
    answer = await exchange.answer(rest + _MARKS)
    assert answer.body == b'good', name
    assert exchange.transport.is_aborted


@pytest.mark.parametrize('status', [b'204 No Content', b'304 Not Modified'])
async def test_bodiless_answer_is_whole_before_invalid_bytes(
    status: bytes,
) -> None:
    """Guards against the loss of an answer without a body that arrives in one
    read with invalid bytes.
    """
    exchange = _Exchange()
    head = _HEAD.replace(b'200 OK', status, 1)
    answer = await exchange.answer(b'%s\r\n%s' % (head, _MARKS))
    assert answer.status == int(status[:3])
    assert not answer.body
    assert exchange.transport.is_aborted


async def test_body_of_another_answer_is_not_completed() -> None:
    """Guards against invalid bytes behind an answer to another request that
    are taken for the end of the wanted answer.
    """
    exchange = _Exchange()
    await asyncio.sleep(0)
    exchange.receive(_OTHER[:-4])
    with pytest.raises(BrokenAnswer, match='malformed'):
        await exchange.answer(_OTHER[-4:] + _MARKS)


@pytest.mark.parametrize(
    ('name', 'first', 'unit'),
    [
        ('extensions', _CHUNKED, b'1;%s\r\nx\r\n' % _MARKS[:4000]),
        ('an extension', b'%s1;' % _CHUNKED, _MARKS),
        ('zeros as a size', _CHUNKED, b'0' * _READ_BYTES),
        ('trailers', b'%s0\r\n' % _CHUNKED, b'a: %s\r\n' % _MARKS[:15_000]),
        ('trailers behind a body', _MANY_CHUNKS, b'a: %s\r\n' % _MARKS[:4000]),
        ('chunks of a byte', _CHUNKED, b'1\r\nx\r\n' * 2000),
    ],
)
async def test_framing_of_a_body_is_bounded(
    name: str, first: bytes, unit: bytes
) -> None:
    """Guards against bytes without end that are no payload of a body."""
    sent = _Reads(first, unit, _ANSWER_BYTES)
    with pytest.raises(BrokenAnswer, match='framing of the body too long'):
        await sent.answer()
    assert sent.unsent_bytes > 0, name


@pytest.mark.parametrize(
    'length',
    [b'%d' % (_ANSWER_BYTES + 1), b'%d' % (2**64 - 1)],
)
async def test_announced_length_is_refused_with_the_head(length: bytes) -> None:
    """Guards against bytes of a body that are kept until it is too long, and
    against an answer without its body, since the parser takes a length for
    none.
    """
    head = b'%scontent-length: %s\r\n\r\nbody' % (_HEAD, length)
    with pytest.raises(BrokenAnswer, match='announced length too large'):
        await _Exchange().answer(head)


@pytest.mark.parametrize(
    ('name', 'method', 'status'),
    [
        ('HEAD', 'HEAD', b'200 OK'),
        ('no content', 'GET', b'204 No Content'),
        ('not modified', 'GET', b'304 Not Modified'),
    ],
)
async def test_length_of_no_body_is_not_limited(
    name: str, method: str, status: bytes
) -> None:
    """Guards against refusing an answer that only states a length."""
    answer = await _Exchange(method).answer(
        b'HTTP/1.1 %s\r\ncontent-length: 99999999\r\n\r\n' % status,
    )
    assert answer.body == b'', name


@pytest.mark.parametrize('status', [b'000', b'099', b'600', b'999'])
async def test_status_that_is_none_fails_at_once(status: bytes) -> None:
    """Guards against a call that waits for another answer until its deadline,
    and against callers that get such a status.
    """
    sent = b'HTTP/1.1 %s A\r\ncontent-length: 0\r\n\r\n' % status
    with pytest.raises(BrokenAnswer, match='status is none of HTTP'):
        await _Exchange().answer(sent)


async def test_length_of_too_many_zeros_is_no_answer() -> None:
    """Guards against an unexpected error that is logged with its traceback."""
    head = b'%scontent-length: %s\r\n\r\n' % (_HEAD, b'0' * 5000)
    for sent in (head, head + _MARKS):
        with pytest.raises(BrokenAnswer, match='no answer'):
            await _Exchange().answer(sent)  # noqa: WPS476


async def test_length_of_many_zeros_is_read() -> None:
    """Guards against refusing a legal length for its digits."""
    answer = await _Exchange().answer(
        b'%scontent-length: %s4\r\n\r\ngo' % (_HEAD, b'0' * 20),
        b'od',
    )
    assert answer.body == b'good'


@pytest.mark.parametrize('stated', [b'9' * 5000, '²'.encode(), b'-1', b'x'])
async def test_odd_idle_timeout_is_ignored(stated: bytes) -> None:
    """Guards against an answer that is lost with an unexpected error, since
    its target states a timeout that is no number or too large a one.
    """
    answer = await _Exchange().answer(
        b'%scontent-length: 0\r\nkeep-alive: timeout=%s\r\n\r\n'
        % (_HEAD, stated),
    )
    assert answer.status == 200


_INTERIM: Final = b'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n'
_LARGEST: Final = bytes(_ANSWER_BYTES - 1)


@pytest.mark.parametrize(
    ('name', 'sent'),
    [
        (
            'length',
            b'%scontent-length: %d\r\n\r\n%s'
            % (_HEAD, len(_LARGEST), _LARGEST),
        ),
        (
            'chunks',
            b'%s%x\r\n%s\r\n0\r\na: b\r\n\r\n'
            % (_CHUNKED, len(_LARGEST), _LARGEST),
        ),
        (
            'small chunks',
            b'%s%s7\r\n1234567\r\n0\r\n\r\n'
            % (_CHUNKED, b'8\r\n12345678\r\n' * (_ANSWER_BYTES // 8 - 1)),
        ),
        (
            'long head',
            b'%s%scontent-length: %d\r\n\r\n%s'
            % (_HEAD, b'a: %s\r\n' % _MARKS * 6, len(_LARGEST), _LARGEST),
        ),
    ],
)
async def test_answer_within_the_limits_is_whole(
    name: str, sent: bytes
) -> None:
    """Guards against refusing an answer that is legal and long."""
    answer = await _Reads(_INTERIM * 2 + sent, b'', 0).answer()
    assert len(answer.body) == len(_LARGEST), name


class _RecordedReads:
    """Sizes of what connections to targets receive at a time."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Record from now on."""
        self.sizes: list[int] = []
        self._receive = TargetConnection.data_received
        monkeypatch.setattr(
            TargetConnection,
            'data_received',
            lambda connection, received: self._record(connection, received),
        )

    def _record(self, connection: TargetConnection, received: bytes) -> None:
        self.sizes.append(len(received))
        self._receive(connection, received)


@pytest.mark.parametrize(
    ('name', 'unit', 'largest'),
    [
        ('chunks of a byte', b'1\r\nx\r\n', TURN_BYTES),
        ('text in large chunks', b'2000\r\n%s\r\n' % _TEXT, MAX_READ_BYTES),
        ('all bytes', b'2000\r\n%s\r\n' % _ALL_BYTES, MAX_READ_BYTES),
    ],
)
async def test_reads_of_costly_answers_take_turns(
    name: str, unit: bytes, largest: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against chunks that take up the loop, and against text and
    compressed bytes that are read in small parts.
    """
    reads = _RecordedReads(monkeypatch)
    sent = _CHUNKED + unit * (_ANSWER_BYTES // len(unit))
    async with run_scripted((sent, CLOSE)) as (address, _):
        with pytest.raises(PlacementFault, match='answer broke off'):
            await local_target(address).run(call_open(), _ignore)
    assert largest // 2 < max(reads.sizes) <= largest, name

"""Tests of targets that send bytes that are no answer, without end."""

import asyncio
from itertools import repeat
from typing import Any, Final

import pytest
from aiohttp.http_parser import RawResponseMessage
from mustardspur_node.mesh.answer_budget import AnswerBudget
from mustardspur_node.mesh.answer_parser import BrokenAnswer, RawAnswer
from mustardspur_node.mesh.target_connection import TargetConnection

from tests.node.stand_ins.memory import uncollected_memory

_READ_BYTES: Final = 16_384
_ANSWER_BYTES: Final = 1_048_576
_CALLS: Final = 20
_MARK: Final = b'mark'
_MARKS: Final = _MARK * (_READ_BYTES // len(_MARK))
_HEAD: Final = b'HTTP/1.1 200 OK\r\n'
_CHUNKED: Final = b'%stransfer-encoding: chunked\r\n\r\n' % _HEAD
_OTHER: Final = b'%sx-request-id: z\r\ncontent-length: %d\r\n\r\n%s' % (
    _HEAD,
    len(_MARKS),
    _MARKS,
)


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

    async def answer(self, first: bytes, unit: bytes = b'') -> RawAnswer:
        """Return the answer to which bytes are sent until it is over."""
        await asyncio.sleep(0)
        self._connection.data_received(first)
        for part in repeat(unit):
            if self._answer.done() or not unit:
                break
            self._connection.data_received(part)
            await asyncio.sleep(0)  # noqa: WPS476
        return await self._answer


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

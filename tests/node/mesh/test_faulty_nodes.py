"""Tests of answers from a faulty node, or one of another version."""

import asyncio
from typing import Any, Final

import pytest
from mustardspur_core.mesh.call_messages import (
    CallAnswer,
    CallCancel,
    CallFailed,
    CallPart,
)
from mustardspur_core.record import Record, replaced
from mustardspur_core.wire import FrameStream
from mustardspur_node.mesh.answer_budget import AnswerBudget
from mustardspur_node.mesh.answer_heads import MAX_HEAD_BYTES
from mustardspur_node.mesh.calls import PlacementFault, TargetAnswer
from mustardspur_node.mesh.outgoing_bodies import Uplink
from mustardspur_node.mesh.peer_connection import (
    MAX_FRAME_BYTES,
    MAX_UNCLAIMED_BYTES,
)
from mustardspur_node.mesh.peer_link import PeerCallLink

from tests.node.mesh.builders import call_open
from tests.node.stand_ins.faulty_node import (
    LOAD,
    FaultyNode,
    ignore,
    linked_node,
)

_TIME_S: Final = 10
_LONG: Final = 'x' * 1_000_000
_ANSWER: Final = CallAnswer(
    status=200,
    reason='OK',
    headers=[['x-name', 'text']],
    body=b'good',
    more=False,
    load=LOAD,
)
_HEAD: Final = replaced(_ANSWER, more=True)
_PART: Final = CallPart(body=b'bad', more=True)


async def _run(link: PeerCallLink) -> TargetAnswer:
    async with asyncio.timeout(_TIME_S):
        return await link.run(call_open(), ignore)


async def test_long_fault_is_cut() -> None:
    """Guards against a node that fills the memory, the log or the names of
    metrics of the caller's node with the text of a fault.
    """
    failed = CallFailed(kind=_LONG, not_run=True, detail=_LONG, load=LOAD)
    async with linked_node(FaultyNode(failed)) as link:
        with pytest.raises(PlacementFault) as raised:
            await _run(link)
    assert raised.value.kind == 'broken'
    assert raised.value.not_run
    assert not raised.value.arrived
    assert raised.value.detail.startswith('xxx')
    assert len(str(raised.value)) < 1000


@pytest.mark.parametrize(
    'changes',
    [
        {'status': 0},
        {'status': 101},
        {'status': 600},
        {'status': -(2**62)},
        {'headers': [['x-name']]},
        {'headers': [[]]},
        {'headers': [['x-name', 'text\r\nx-other: text']]},
        {'reason': 'OK\n'},
        {'headers': [['x-name', 'x' * MAX_HEAD_BYTES]]},
        {'headers': [['', ''] for _ in range(MAX_HEAD_BYTES // 100)]},
    ],
)
async def test_head_that_is_none_fails_its_call_only(
    changes: dict[str, Any],
) -> None:
    """Guards against a head that a caller cannot be sent or that fills the
    memory, and against the end of all other calls of the stream for it.
    """
    node = FaultyNode(replaced(_ANSWER, **changes))
    async with linked_node(node) as link:
        with pytest.raises(PlacementFault, match='broken') as raised:
            await _run(link)
        assert not raised.value.not_run
        node.frames = (_ANSWER,)
        assert (await _run(link)).body == b'good'
    assert node.streams == 1


@pytest.mark.parametrize(
    'frames',
    [
        (_PART,),
        (_HEAD, _HEAD),
        (CallCancel(reason=''),),
        (replaced(_ANSWER, body=bytes(MAX_FRAME_BYTES)),),
    ],
)
async def test_frames_that_are_no_answer_end_the_stream(
    frames: tuple[Record, ...],
) -> None:
    """Guards against calls that wait for an answer that cannot come any more,
    and against frames of megabytes.
    """
    node = FaultyNode(*frames)
    async with linked_node(node) as link:
        with pytest.raises(PlacementFault, match='stream ended') as raised:
            await _run(link)
        assert not raised.value.not_run
        node.frames = (_ANSWER,)
        assert (await _run(link)).body == b'good'
    assert node.streams == 2


async def test_parts_after_the_end_are_not_kept() -> None:
    """Guards against bytes that are kept, or counted, for an ended call."""
    budget = AnswerBudget()
    node = FaultyNode(_ANSWER, _PART, _ANSWER, _HEAD)
    async with linked_node(node, Uplink(0, budget)) as link:
        assert (await _run(link)).body == b'good'
        assert (await _run(link)).body == b'good'
    assert (node.streams, budget.held_bytes) == (1, 0)


class _EndlessNode(FaultyNode):
    """Node that goes on with an answer after the end of its call."""

    async def answer(self, stream: FrameStream, call_id: int) -> None:
        """Send parts without end."""
        await super().answer(stream, call_id)
        part = CallPart(body=bytes(65_536), more=True)
        while True:
            await stream.send(part, call_id)
            self.sent_bytes += len(part.body)


async def test_answers_of_ended_calls_end_the_stream() -> None:
    """Guards against a process that is kept busy with what nobody waits for,
    and against calls behind it that are never answered.
    """
    node = _EndlessNode(_ANSWER)
    async with linked_node(node) as link:
        assert (await _run(link)).body == b'good'
        with pytest.raises(PlacementFault, match='stream ended'):
            await _run(link)
    assert node.sent_bytes < 2 * MAX_UNCLAIMED_BYTES


async def test_large_heads_are_counted() -> None:
    """Guards against heads of many answers that exceed the bytes that all
    answers may take together.
    """
    budget = AnswerBudget(3 * MAX_HEAD_BYTES)
    headers = [['x-name', 'x' * (MAX_HEAD_BYTES - 1000)]]
    node = FaultyNode(replaced(_HEAD, headers=headers))
    async with linked_node(node, Uplink(0, budget)) as link:
        calls = [asyncio.create_task(_run(link)) for _ in range(9)]
        done, waiting = await asyncio.wait(calls, timeout=1)
        assert (len(done), len(waiting)) == (6, 3)
        assert budget.held_bytes <= budget.limit_bytes
        link.close()
        await asyncio.gather(*calls, return_exceptions=True)
    assert budget.held_bytes == 0

"""Damaged credits and cold times at the handlers of a node."""

import asyncio
import math
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, closing, contextmanager, suppress
from typing import Final

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from mustardspur_core.mesh.call_messages import (
    BodyCredit,
    CallAnswer,
    CallOpen,
    CallPart,
    TargetLoad,
)
from mustardspur_core.mesh.control_messages import MeshAnnounce
from mustardspur_core.mesh.model import ServiceRule
from mustardspur_core.record import Record, replaced
from mustardspur_core.wire import (
    FrameStream,
    decode_frame,
    encode_frame,
)
from mustardspur_node.mesh.calls import (
    PlacementFault,
    TargetAnswer,
)
from mustardspur_node.mesh.node_announcement import NodeAnnouncement
from mustardspur_node.mesh.outgoing_bodies import Uplink
from mustardspur_node.mesh.peer_link import PeerCallLink

from tests.node.mesh.builders import call_open, local_target, node_settings
from tests.node.stand_ins.scripted import GOOD, KEEP, run_scripted
from tests.support.damaged_frames import damaged_frames
from tests.support.virtual_time import ticks

_HANG_S: Final = 5
_LOAD: Final = TargetLoad(
    running=0,
    waiting=0,
    slots=4,
    run_ms=5,
    failure_rate=0,
    open=True,
    link_wait_ms=0,
)


class _CreditingNode:
    """Node that gives damaged credits before it takes a body."""

    def __init__(self, credits_first: list[bytes]) -> None:
        """Initialise without calls."""
        self.credits_first = credits_first
        self.parts: list[bytes] = []

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve a stream until it ends."""
        stream = FrameStream(reader, writer)
        with closing(stream), suppress(EOFError, OSError):
            while True:
                frame = await stream.receive()
                self._apply(stream, frame.request_id, frame.body)

    def _apply(self, stream: FrameStream, call_id: int, body: Record) -> None:
        if isinstance(body, CallOpen) and body.body_bytes:
            for encoded in self.credits_first:
                stream.enqueue_encoded(encoded)
            stream.enqueue(BodyCredit(bytes=body.body_bytes), call_id)
        elif isinstance(body, CallPart):
            self.parts.append(body.body)
            if not body.more:
                _answer(stream, call_id)
        elif isinstance(body, CallOpen):
            _answer(stream, call_id)


def _answer(stream: FrameStream, call_id: int) -> None:
    answer = CallAnswer(
        status=200,
        reason='OK',
        headers=[],
        body=b'good',
        more=False,
        load=_LOAD,
    )
    stream.enqueue(answer, call_id)


def _ignore(*_: object) -> None:
    """Do nothing with a load report."""


@asynccontextmanager
async def _linked(node: _CreditingNode) -> AsyncIterator[PeerCallLink]:
    server = await asyncio.start_server(node.serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    uplink = Uplink(1000)
    link = PeerCallLink(f'{host}:{port}', node_settings(), _ignore, uplink)
    async with server:
        with _closing(link):
            yield link
        # Lets both ends of the streams close before the loop ends.
        await asyncio.sleep(0.01)


@contextmanager
def _closing(link: PeerCallLink) -> Iterator[None]:
    """Close a link after the block."""
    try:
        yield
    finally:
        link.close()


async def _call(link: PeerCallLink, size: int) -> TargetAnswer:
    call = call_open(body=bytes(size), confirm=False)
    async with asyncio.timeout(_HANG_S):
        return await link.run(call, _ignore)


async def _check_bodies(credits_first: list[bytes]) -> None:
    node = _CreditingNode(credits_first)
    async with _linked(node) as link:
        answers = await asyncio.gather(
            _call(link, 100_000), _call(link, 10), return_exceptions=True
        )
        assert [getattr(each, 'body', each) for each in answers] == [
            b'good',
            b'good',
        ]
    assert sum(map(len, node.parts)) == 100_000
    assert all(node.parts)


@settings(max_examples=30, deadline=None, derandomize=True)
@given(
    sizes=st.lists(st.sampled_from([0, -1, -8192, -(2**63)]), max_size=3),
    call_id=st.sampled_from([1, 2, 77, -1, 2**63]),
)
def test_credit_without_bytes(sizes: list[int], call_id: int) -> None:
    """Guards against empty parts of a body, for which the other node ends the
    stream with all calls on it.
    """
    asyncio.run(
        _check_bodies(
            [encode_frame(BodyCredit(bytes=size), call_id) for size in sizes],
        ),
    )


@settings(max_examples=30, deadline=None, derandomize=True)
@given(data=st.data())
def test_call_after_a_damaged_credit(data: st.DataObject) -> None:
    """Guards against a damaged frame that harms more than its stream."""
    asyncio.run(_check_next_call(data.draw(damaged_frames(170))))


async def _check_next_call(damaged: bytes) -> None:
    node = _CreditingNode([damaged])
    async with _linked(node) as link:
        with suppress(PlacementFault):
            await _call(link, 100_000)
        node.credits_first = []
        assert (await _call(link, 100_000)).body == b'good'


_COLD_RULE: Final = ServiceRule(
    name='forms',
    health_path='/healthz',
    max_connections=100,
    cold_ms=3000,
    cold_per_s=8.5,
)


async def _check_cold(stated: bytes, cold_per_s: float) -> None:
    steps = [
        GOOD.replace(
            b'\r\n\r\n', b'\r\nx-mustardspur-cold-ms: %b\r\n\r\n' % each
        )
        for each in (stated, b'0')
    ]
    async with run_scripted(*((each, KEEP) for each in steps)) as (address, _):
        local = local_target(address)
        cold = local.reports.cold
        cold.rule_of = {
            'forms': replaced(_COLD_RULE, cold_per_s=cold_per_s),
        }.get
        cold.apply_rule('forms')
        announcement = NodeAnnouncement(node_settings(), local.reports)
        async for number in ticks(3, 0):
            async with asyncio.timeout(_HANG_S):
                answer = await local.run(call_open(f'r{number}'), _run_now)
            assert answer.body == b'good'
            announced = announcement.next()
            body = decode_frame(
                encode_frame(MeshAnnounce(target=announced))
            ).body
            assert isinstance(body, MeshAnnounce)
            assert math.isfinite(body.target.cold_ms)
        assert not cold.is_cold


async def _run_now(_: object) -> None:
    """Let the call run."""


@settings(max_examples=80, deadline=None, derandomize=True)
@given(
    stated=st.sampled_from(
        ['1e308', '1e19', '9' * 300, '-1', 'nan', 'inf', '1_0', '', '0x9', '٣'],
    )
    | st.floats().map(str)
    | st.integers().map(str)
    | st.text(st.characters(codec='utf-8', exclude_categories=['C', 'Z'])),
    cold_per_s=st.sampled_from([0, 8.5]),
)
def test_damaged_cold_time(stated: str, cold_per_s: float) -> None:
    """Guards against a cold time that cannot be announced, so that the node
    loses its control instance, or that ends calls.
    """
    asyncio.run(_check_cold(stated.encode(), cold_per_s))


@pytest.mark.parametrize('remaining_ms', [1e300, 1e19])
async def test_long_cold_time_of_a_report(remaining_ms: float) -> None:
    """Guards against the same in a report of the target."""
    local = local_target('127.0.0.1:9')
    local.reports.cold.rule_of = {'forms': _COLD_RULE}.get
    local.reports.cold.apply_rule('forms')
    current = local.reports.current
    assert current is not None
    local.reports.accept(replaced(current, sequence=9, cold_ms=remaining_ms))
    announcement = NodeAnnouncement(node_settings(), local.reports)
    assert encode_frame(MeshAnnounce(target=announcement.next()))

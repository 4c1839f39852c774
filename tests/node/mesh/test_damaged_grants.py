"""Damaged grants of tokens at a node."""

import asyncio
import random
from contextlib import suppress
from typing import Any, Final

from hypothesis import given, settings
from hypothesis import strategies as st
from mustardspur_core.mesh.allowance_checks import MAX_CALLS, check_request
from mustardspur_core.mesh.control_messages import (
    AllowanceGrant,
    AllowanceRequest,
    AllowanceShare,
)
from mustardspur_core.metrics import NullMetrics
from mustardspur_core.record import Record
from mustardspur_core.wire import MalformedFrame, decode_frame
from mustardspur_node.mesh.allowances import NodeAllowances
from mustardspur_node.mesh.calls import UnansweredCall
from mustardspur_node.mesh.decisions import DecisionLog
from mustardspur_node.mesh.limit_allowance import LimitAllowance
from mustardspur_node.mesh.view import MeshView

from tests.core.mesh.builders import account, mesh_settings
from tests.support.damaged_frames import LIMIT, NUMBERS, damaged_frames
from tests.support.virtual_time import in_virtual_time, ticks, virtual_now_s

_FUZZED: Final = settings(max_examples=60, deadline=None, derandomize=True)
_HANG_S: Final = 5
_DAY_S: Final = 86_400
# Calls of a node that decides alone, and those that it may admit in advance.
_OWN_PART: Final = 60
_ADVANCE: Final = 2
_INTEGERS: Final = tuple(each for each in NUMBERS if isinstance(each, int))
_whole = st.sampled_from(_INTEGERS) | st.integers(-(2**63), 2**64 - 1)
_numbers = st.sampled_from(NUMBERS).map(float) | st.floats()
_ACCOUNT: Final = account('cafe', rate_per_s=100, burst=100)


@in_virtual_time
async def test_many_refused_calls_are_reported_within_range() -> None:
    """Guards against a hot account of a rare limit whose calls, counted for
    hours, make a request that ends the stream.
    """
    allowance = LimitAllowance(_ACCOUNT, random.Random(1), virtual_now_s())
    for _ in range(MAX_CALLS + 1):
        allowance.try_admit(0)
    check_request(AllowanceRequest(uses=[allowance.next_use(1).use]))


class _Broker:
    """Answers the first request with a given grant, then grants nothing."""

    def __init__(self, first: Record) -> None:
        """Initialise a node that is attached to a control instance."""
        self._next: list[Record] = [first]
        self.allowances = NodeAllowances(
            mesh_settings(),
            MeshView(),
            DecisionLog(),
            NullMetrics(),
            random.Random(1),
        )
        stream: Any = self
        self.allowances.attach(stream)

    def enqueue(self, request: AllowanceRequest) -> None:
        """Answer a request as the stream of the node does."""
        nothing = [
            AllowanceShare(
                limit=use.limit,
                tokens=0,
                valid_ms=1000,
                relaxed=False,
                retry_after_ms=200,
            )
            for use in request.uses
        ]
        self._next.append(AllowanceGrant(grants=nothing))
        grant: Any = self._next.pop(0)
        asyncio.get_running_loop().call_soon(self._deliver, grant)

    def _deliver(self, grant: AllowanceGrant) -> None:
        try:
            self.allowances.apply(grant)
        except MalformedFrame:
            # The stream ends, and the node attaches again.
            self._next.clear()
            stream: Any = self
            self.allowances.detach()
            self.allowances.attach(stream)


async def _check_calls(first: Record) -> None:
    """Check that calls are decided, and not beyond the node's own part."""
    broker = _Broker(first)
    admitted = 0
    async for number in ticks(2, 0):
        count = 400 if number else 3
        calls = [broker.allowances.admit(_ACCOUNT, None) for _ in range(count)]
        async with asyncio.timeout(_HANG_S):
            results = await asyncio.gather(*calls, return_exceptions=True)
        admitted += results.count(None)
        for refusal in results:
            assert refusal is None or isinstance(refusal, UnansweredCall)
            assert refusal is None or 0 < refusal.retry_after_s <= _DAY_S
    assert admitted <= _OWN_PART + _ADVANCE + 3


@_FUZZED
@given(
    tokens=_whole,
    valid_ms=_numbers,
    retry_after_ms=_numbers,
    relaxed=st.booleans(),
    limit=st.sampled_from([LIMIT, 'account/bar', '']),
    count=st.integers(0, 3),
)
@in_virtual_time
async def test_damaged_numbers_of_a_grant(
    count: int,
    **numbers: Any,
) -> None:
    """Guards against a grant that gives a node unlimited calls, refuses calls
    without a time, or ends calls with an unexpected error.
    """
    shares = [AllowanceShare(**numbers) for _ in range(count)]
    await _check_calls(AllowanceGrant(grants=shares))


@_FUZZED
@given(data=st.data())
@in_virtual_time
async def test_damaged_grant(data: st.DataObject) -> None:
    """Guards against a damaged grant that harms the calls of its account."""
    with suppress(MalformedFrame):
        await _check_calls(decode_frame(data.draw(damaged_frames(133))).body)

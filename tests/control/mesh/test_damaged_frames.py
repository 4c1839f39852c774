"""Frames of nodes and control instances with damaged values."""

import math
from contextlib import suppress
from typing import Final

import pytest
from hypothesis import assume, given, settings
from hypothesis import strategies as st
from mustardspur_control.mesh.limit_broker import LimitBroker
from mustardspur_control.mesh.state_machine import MeshStateMachine
from mustardspur_control.mesh.store import MeshStore
from mustardspur_control.store import Store
from mustardspur_core.mesh.allowance_checks import (
    MAX_DEMAND_PER_S,
    check_grant,
)
from mustardspur_core.mesh.control_messages import (
    AllowanceDemand,
    AllowanceGrant,
    AllowanceRequest,
    AllowanceUse,
    LimitDemand,
)
from mustardspur_core.mesh.entries import MeshAnswer
from mustardspur_core.mesh.token_bucket import TokenBucket
from mustardspur_core.record import Record
from mustardspur_core.wire import MalformedFrame, decode_frame, encode_frame

from tests.support.allowance_world import World
from tests.support.damaged_frames import (
    LIMIT,
    NUMBERS,
    damaged_frames,
    nested_frames,
    samples,
)
from tests.support.virtual_time import in_virtual_time

_FUZZED: Final = settings(max_examples=60, deadline=None, derandomize=True)
_RATE_PER_S: Final = 100.0
_INTEGERS: Final = tuple(each for each in NUMBERS if isinstance(each, int))
_whole = st.sampled_from(_INTEGERS) | st.integers(-(2**63), 2**64 - 1)
_numbers = st.sampled_from(NUMBERS).map(float) | st.floats()


def _apply(world: World, body: Record) -> None:
    """Apply a frame at the first control instance, as its handlers do."""
    broker = world.controls['control-0'].broker
    with suppress(MalformedFrame):
        if isinstance(body, AllowanceRequest):
            broker.answer('damaged', body)
        elif isinstance(body, AllowanceDemand):
            broker.record_demand('control-1', body)


def _is_possible(body: Record) -> bool:
    """Return whether a demand is one that an instance may have.

    The shares follow such a demand, also if it is damaged.
    """
    return isinstance(body, AllowanceDemand) and any(
        _RATE_PER_S / 10 < demand.per_s <= MAX_DEMAND_PER_S
        for demand in body.demands
    )


async def _check_served(body: Record) -> None:
    """Check that nodes get their tokens after a frame has been applied."""
    assume(not _is_possible(body))
    world = World(_RATE_PER_S, 4, 2)
    async with world.running():
        await world.call(_RATE_PER_S / 2, 1)
        _apply(world, body)
        world.refused_s.clear()
        await world.call(_RATE_PER_S / 2, 3)
    assert not world.refused_s
    for control in world.controls.values():
        described = control.broker.describe()
        assert all(
            math.isfinite(value)
            for limit in described
            for value in limit.values()
            if isinstance(value, int | float)
        )


@_FUZZED
@given(spent=_whole, wanted=_whole, calls=_whole)
@in_virtual_time
async def test_damaged_numbers_of_a_request(
    spent: int,
    wanted: int,
    calls: int,
) -> None:
    """Guards against a node whose damaged request uses up a limit for all
    others, or makes the broker fail.
    """
    use = AllowanceUse(limit=LIMIT, spent=spent, wanted=wanted, calls=calls)
    await _check_served(AllowanceRequest(uses=[use]))


@_FUZZED
@given(per_s=_numbers, full=st.booleans())
@in_virtual_time
async def test_damaged_numbers_of_a_demand(per_s: float, full: bool) -> None:
    """Guards against a demand that is no number, by which an instance could
    no longer compute its shares.
    """
    demand = LimitDemand(limit=LIMIT, per_s=per_s)
    await _check_served(AllowanceDemand(full=full, demands=[demand]))


def test_grants_of_a_rare_limit_are_in_range() -> None:
    """Guards against a limit of a call a day whose grants end the streams."""
    broker = LimitBroker(LIMIT, TokenBucket(0), now_s=0)
    broker.rate_per_s = 1 / 86_400
    broker.resize(0.01, now_s=0)
    use = AllowanceUse(limit=LIMIT, spent=0, wanted=1, calls=1)
    share = broker.answer('n1', use, now_s=0)
    assert share.retry_after_ms > 86_400_000
    check_grant(AllowanceGrant(grants=[share]), [use])


@pytest.mark.parametrize('code', [132, 141])
@_FUZZED
@given(data=st.data())
@in_virtual_time
async def test_damaged_frame_of_a_limit(
    code: int,
    data: st.DataObject,
) -> None:
    """Guards against a damaged frame that harms the calls of other nodes."""
    with suppress(MalformedFrame):
        body = decode_frame(data.draw(damaged_frames(code))).body
        await _check_served(body)


@pytest.mark.parametrize('code', [185, 186])
@_FUZZED
@given(data=st.data())
def test_damaged_entry_is_applied_or_invalid(
    code: int,
    data: st.DataObject,
) -> None:
    """Guards against an entry of the log that ends the task that applies
    entries, and with it every control instance.
    """
    store = MeshStore()
    machine = MeshStateMachine(Store(), store)
    depths = st.sampled_from([1000, 100_000])
    nested = depths.flatmap(
        lambda depth: st.sampled_from(nested_frames(code, depth)),
    )
    entry = data.draw(damaged_frames(code) | nested)
    machine.apply(1, entry)
    answer = machine.apply(2, encode_frame(samples()[185]))
    assert isinstance(answer, MeshAnswer)
    assert 'split-a' in store.state.evacuated or answer.status == 'conflict'
    restored = MeshStore()
    restored.restore(2, store.snapshot())
    assert restored.state.evacuated == store.state.evacuated

"""Tests of the rate limit that a target states."""

import asyncio

import pytest
from mustardspur_node.mesh.calls import PlacementFault
from mustardspur_node.mesh.capacity import TargetCapacity
from mustardspur_node.mesh.rate_limit import StatedRateLimit, parse_rate

from tests.node.mesh.builders import (
    call_open,
    local_target,
    target_report,
    waiting_request,
)
from tests.node.stand_ins.scripted import GOOD, KEEP, REFUSAL, run_scripted
from tests.support.virtual_time import in_virtual_time, virtual_now_s


def _with_limit(answer: bytes, limit: bytes) -> bytes:
    head, separator, body = answer.partition(b'\r\n\r\n')
    return b'%s\r\nx-mustardspur-rate-limit: %s%s%s' % (
        head,
        limit,
        separator,
        body,
    )


async def _ignore(_: object) -> None:
    """Do nothing when the call may run."""


@pytest.mark.parametrize(
    ('name', 'answer'),
    [
        ('an answer', GOOD),
        ('a refusal', REFUSAL),
    ],
)
async def test_limit_is_read_from_any_answer(name: str, answer: bytes) -> None:
    """Guards against a limit that is read from some answers only."""
    async with run_scripted((_with_limit(answer, b'25'), KEEP)) as (
        address,
        _,
    ):
        local = local_target(address)
        await asyncio.gather(
            local.run(call_open('r1'), _ignore), return_exceptions=True
        )
        assert local.admission.capacity.rate_limit.per_s == 25, name


@pytest.mark.parametrize(
    'text', ['', 'nan', 'inf', '-1', '1e999', '5 a second']
)
async def test_limit_that_cannot_be_read_changes_nothing(text: str) -> None:
    """Guards against a spoiled limit that lifts the one in force."""
    spoiled = _with_limit(GOOD, text.encode())
    async with run_scripted((spoiled, KEEP)) as (address, _):
        local = local_target(address)
        local.admission.apply_rate_limit(3.0, 0)
        answer = await local.run(call_open('r1'), _ignore)
        assert answer.body == b'good'
        assert local.admission.capacity.rate_limit.per_s == 3
    with pytest.raises(ValueError, match='.'):
        parse_rate(text)


@in_virtual_time
async def test_answer_to_earlier_call_lifts_no_limit() -> None:
    """Guards against an answer without a limit that was made before the
    target stated one, and is read after it.
    """
    limit = StatedRateLimit()
    await asyncio.sleep(1)
    limit.record(5.0, 0.5)
    limit.record(None, 0.9)
    assert limit.per_s == 5
    await asyncio.sleep(1)
    limit.record(None, 1.5)
    assert limit.per_s is None
    assert not limit.delay_s


@in_virtual_time
async def test_limit_of_zero_lets_single_calls_through() -> None:
    """Guards against a limit of zero that never ends, since no answer can
    tell that it is lifted.
    """
    limit = StatedRateLimit()
    limit.record(0, 0)
    times_s: list[float] = []
    while len(times_s) < 4:
        await asyncio.sleep(limit.delay_s)
        limit.record_call()
        times_s.append(virtual_now_s())
    assert times_s == [0, 2, 4, 6]


async def test_replaced_target_has_no_limit() -> None:
    """Guards against a limit of an earlier target at the same address."""
    async with run_scripted() as (address, _):
        local = local_target(address)
        local.admission.apply_rate_limit(3.0, 0)
        local.reports.accept(target_report(address=address, id='t2', born=2000))
        local.refresh()
        assert local.admission.capacity.rate_limit.per_s is None


@in_virtual_time
async def test_call_beyond_the_limit_is_refused_at_once() -> None:
    """Guards against a call that waits although its turn comes too late."""
    local = local_target('127.0.0.1:9')
    local.admission.apply_rate_limit(2.0, 0)
    async with local.admission.admitted(waiting_request(1), 100.0):
        assert local.admission.load.running == local.admission.load.slots
    with pytest.raises(PlacementFault, match='busy'):
        async with local.admission.admitted(waiting_request(1), 100.0):
            pytest.fail('call was admitted beyond the limit')
    assert not virtual_now_s()


@in_virtual_time
async def test_reported_capacity_gives_the_rate() -> None:
    """Guards against other nodes that send a limited target more calls than
    it may get, or fewer.
    """
    capacity = TargetCapacity()
    capacity.slots = 9
    capacity.rate_limit.record(30.0, 0)
    await asyncio.sleep(1)
    reported = capacity.reported(80.0)
    assert (reported.running, reported.slots) == (0, 3)
    assert reported.slots / reported.run_ms == pytest.approx(30 / 1000)
    while capacity.can_start:
        capacity.start()
    assert capacity.reported(80.0).running == 3

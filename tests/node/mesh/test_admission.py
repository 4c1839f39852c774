"""Tests of the admission of calls to a target."""

import asyncio
from contextlib import suppress

import pytest
from mustardspur_node.mesh.admission import AdmissionControl
from mustardspur_node.mesh.call_value import LATE_RANK
from mustardspur_node.mesh.calls import PlacementFault

from tests.node.mesh.builders import waiting_request
from tests.support.virtual_time import in_virtual_time, ticks


def _admission(slots: int, policy: str = 'least_expected') -> AdmissionControl:
    admission = AdmissionControl(balancing=policy)
    admission.open = True
    admission.resize(slots)
    return admission


async def _run_call(
    admission: AdmissionControl, priority: int, admitted: list[int]
) -> None:
    async with admission.admitted(waiting_request(priority), 1000.0):
        admitted.append(priority)
        await asyncio.sleep(0.05)


@in_virtual_time
async def test_target_runs_as_many_calls_as_it_has_slots() -> None:
    """Guards against more concurrent calls than the target has slots."""
    admission = _admission(2)
    admitted: list[int] = []
    async with asyncio.TaskGroup() as group:
        for _ in range(6):
            group.create_task(_run_call(admission, 1, admitted))
        await asyncio.sleep(0.01)
        assert len(admitted) == 2
        assert admission.load.waiting == 4
    assert len(admitted) == 6
    assert admission.load.running == 0


@in_virtual_time
async def test_urgent_calls_go_first() -> None:
    """Guards against urgent calls that wait behind less urgent ones."""
    admission = _admission(1)
    admitted: list[int] = []
    async with asyncio.TaskGroup() as group:
        for priority in (2, 2, 1, 0):
            group.create_task(_run_call(admission, priority, admitted))
    assert admitted == [2, 0, 1, 2]


@in_virtual_time
async def test_call_is_refused_if_the_wait_is_too_long() -> None:
    """Guards against calls that wait although no slot is free in time."""
    admission = _admission(1)
    admitted: list[int] = []
    task = asyncio.create_task(_run_call(admission, 1, admitted))
    await asyncio.sleep(0)
    began_s = asyncio.get_running_loop().time()
    with pytest.raises(PlacementFault) as refusal:
        async with admission.admitted(waiting_request(1), 10.0):
            pytest.fail('call was admitted to a full target')
    assert refusal.value.not_run
    assert not refusal.value.arrived
    assert asyncio.get_running_loop().time() == began_s
    await task


async def _held_ms(admission: AdmissionControl, max_wait_ms: float) -> float:
    """Return how long a call is held until it is refused as busy."""
    began_s = asyncio.get_running_loop().time()
    with pytest.raises(PlacementFault, match='busy'):
        async with admission.admitted(waiting_request(1), max_wait_ms):
            pytest.fail('call was admitted')
    return (asyncio.get_running_loop().time() - began_s) * 1000


@pytest.mark.parametrize(
    ('policy', 'held_ms'), [('first_free', 10), ('least_expected', 120)]
)
@in_virtual_time
async def test_overtaken_call_is_refused_at_once(
    policy: str, held_ms: int
) -> None:
    """Guards against calls that are held until the end of their wait after
    urgent ones have taken the slots, and against a change of that with the
    default policy.

    The load: runs of 100 ms at one slot, three of them more urgent.
    """
    admission = _admission(1, policy)
    admission.run_times.record(100.0, failed=False)
    tasks = [asyncio.create_task(_run_call(admission, 0, []))]
    await asyncio.sleep(0)
    waiting = asyncio.create_task(_held_ms(admission, 120.0))
    await asyncio.sleep(0.01)
    for _ in range(3):
        tasks.append(asyncio.create_task(_run_call(admission, 0, [])))
    assert await waiting == pytest.approx(held_ms)
    await asyncio.gather(*tasks)
    assert admission.load.running == 0
    assert admission.load.waiting == 0


@in_virtual_time
async def test_cancelled_wait_holds_no_slot() -> None:
    """Guards against slots that are lost when callers disconnect."""
    admission = _admission(1)
    admitted: list[int] = []
    tasks = [
        asyncio.create_task(_run_call(admission, 1, admitted)) for _ in range(3)
    ]
    await asyncio.sleep(0.01)
    tasks[1].cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert len(admitted) == 2
    assert admission.load.running == 0
    assert admission.load.waiting == 0


@in_virtual_time
async def test_closed_target_refuses() -> None:
    """Guards against calls to a target that is shutting down."""
    admission = _admission(1)
    admission.close()
    with pytest.raises(PlacementFault, match='closed'):
        async with admission.admitted(waiting_request(0), 1000.0):
            pytest.fail('call was admitted to a closed target')


@in_virtual_time
async def test_slow_target_is_detected_before_its_runs_end() -> None:
    """Guards against calls that queue up at a target that hangs."""
    admission = _admission(2)
    admission.run_times.record(40.0, failed=False)
    with (
        admission.run_times.tracked(),
        admission.run_times.tracked(),
        admission.run_times.tracked(),
    ):
        assert admission.load.run_ms < 100
        await asyncio.sleep(0.8)
        assert admission.load.run_ms == pytest.approx(800)
    assert admission.load.run_ms < 100


@in_virtual_time
async def test_one_long_run_does_not_mark_the_target_slow() -> None:
    """Guards against healthy targets that are avoided for one long run."""
    admission = _admission(4)
    with admission.run_times.tracked():
        await asyncio.sleep(0.8)
        assert admission.load.run_ms < 100


@in_virtual_time
async def test_late_calls_do_not_count_as_load() -> None:
    """Guards against calls in time that are refused because of late ones."""
    admission = _admission(1)
    admitted: list[int] = []
    late = LATE_RANK + 1
    async with asyncio.TaskGroup() as group:
        for priority in (0, late, late, late):
            group.create_task(_run_call(admission, priority, admitted))
        await asyncio.sleep(0.01)
        assert admission.load.waiting == 0
        group.create_task(_run_call(admission, 2, admitted))
        await asyncio.sleep(0.01)
        assert admission.load.waiting == 1
    assert admitted == [0, 2, late, late, late]


async def _offer_call(
    admission: AdmissionControl, admitted_s: list[float]
) -> None:
    with suppress(PlacementFault):
        async with admission.admitted(waiting_request(1), 100.0):
            admitted_s.append(asyncio.get_running_loop().time())
            await asyncio.sleep(0.005)


async def _offer(
    admission: AdmissionControl, per_s: int, length_s: float
) -> list[float]:
    """Offer short calls at a steady rate; return when they were admitted."""
    admitted_s: list[float] = []
    async with asyncio.TaskGroup() as group:
        async for _ in ticks(round(per_s * length_s), 1 / per_s):
            group.create_task(_offer_call(admission, admitted_s))
    return admitted_s


def _most_within(length_s: float, times_s: list[float]) -> int:
    return max(
        sum(start_s <= each < start_s + length_s for each in times_s)
        for start_s in times_s
    )


@in_virtual_time
async def test_calls_stay_within_the_stated_rate() -> None:
    """Guards against a target that gets more calls than it says it accepts."""
    admission = _admission(9)
    admission.apply_rate_limit(20.0, 0)
    admitted_s = await _offer(admission, 200, 12.0)
    assert _most_within(4.0, admitted_s) <= 1.5 * 20 * 4 + 5

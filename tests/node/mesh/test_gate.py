"""Tests of the admission to a target."""

import asyncio

import pytest
from mustardspur_node.mesh.call_value import LATE_RANK
from mustardspur_node.mesh.calls import PlaceFault
from mustardspur_node.mesh.gate import Gate

from tests.support.virtual_time import in_virtual_time


def _gate(slots: int) -> Gate:
    gate = Gate()
    gate.open = True
    gate.resize(slots)
    return gate


async def _hold(gate: Gate, priority: int, held: list[int]) -> None:
    async with gate.admitted(priority, 1000.0):
        held.append(priority)
        await asyncio.sleep(0.05)


@in_virtual_time
async def test_target_gets_as_many_calls_as_slots() -> None:
    """Guards against a target that is sent more than it works on."""
    gate = _gate(2)
    held: list[int] = []
    async with asyncio.TaskGroup() as group:
        for _ in range(6):
            group.create_task(_hold(gate, 1, held))
        await asyncio.sleep(0.01)
        assert len(held) == 2
        assert gate.load.waiting == 4
    assert len(held) == 6
    assert gate.load.running == 0


@in_virtual_time
async def test_urgent_calls_go_first() -> None:
    """Guards against urgent calls behind a queue of others."""
    gate = _gate(1)
    held: list[int] = []
    async with asyncio.TaskGroup() as group:
        for priority in (2, 2, 1, 0):
            group.create_task(_hold(gate, priority, held))
    assert held == [2, 0, 1, 2]


@in_virtual_time
async def test_wait_beyond_the_patience_is_refused_at_once() -> None:
    """Guards against a call that is held although it cannot be served."""
    gate = _gate(1)
    held: list[int] = []
    task = asyncio.create_task(_hold(gate, 1, held))
    await asyncio.sleep(0)
    began_s = asyncio.get_running_loop().time()
    with pytest.raises(PlaceFault) as refusal:
        async with gate.admitted(1, 10.0):
            pytest.fail('admitted beside a full target')
    assert refusal.value.not_run
    assert not refusal.value.arrived
    assert asyncio.get_running_loop().time() == began_s
    await task


@in_virtual_time
async def test_cancelled_wait_keeps_no_slot() -> None:
    """Guards against slots that are lost with callers that leave."""
    gate = _gate(1)
    held: list[int] = []
    tasks = [asyncio.create_task(_hold(gate, 1, held)) for _ in range(3)]
    await asyncio.sleep(0.01)
    tasks[1].cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert len(held) == 2
    assert gate.load.running == 0
    assert gate.load.waiting == 0


@in_virtual_time
async def test_closed_target_refuses() -> None:
    """Guards against calls to a target that is leaving."""
    gate = _gate(1)
    gate.shut()
    with pytest.raises(PlaceFault, match='closed'):
        async with gate.admitted(0, 1000.0):
            pytest.fail('admitted to a closed target')


@in_virtual_time
async def test_slow_target_is_seen_early() -> None:
    """Guards against calls that pile up at a target which hangs."""
    gate = _gate(2)
    gate.runs.note(40.0, failed=False)
    with gate.runs.timed(), gate.runs.timed(), gate.runs.timed():
        assert gate.load.run_ms < 100
        await asyncio.sleep(0.8)
        assert gate.load.run_ms == pytest.approx(800)
    assert gate.load.run_ms < 100


@in_virtual_time
async def test_one_long_run_is_no_slow_target() -> None:
    """Guards against sound targets that are avoided for a long call."""
    gate = _gate(4)
    with gate.runs.timed():
        await asyncio.sleep(0.8)
        assert gate.load.run_ms < 100


@in_virtual_time
async def test_late_calls_do_not_count_as_load() -> None:
    """Guards against calls in time that are refused for late ones."""
    gate = _gate(1)
    held: list[int] = []
    late = LATE_RANK + 1
    async with asyncio.TaskGroup() as group:
        for priority in (0, late, late, late):
            group.create_task(_hold(gate, priority, held))
        await asyncio.sleep(0.01)
        assert gate.load.waiting == 0
        group.create_task(_hold(gate, 2, held))
        await asyncio.sleep(0.01)
        assert gate.load.waiting == 1
    assert held == [0, 2, late, late, late]

"""Tests of the detection of slow periods beside a target."""

import asyncio
import random

import pytest
from mustardspur_node.mesh.calls import PlacementFault
from mustardspur_node.mesh.slow_periods import LATE_FACTOR

from tests.core.mesh.builders import target
from tests.node.mesh.target_table import (
    WORK_MS,
    TableTarget,
    TargetTable,
    random_work_ms,
)
from tests.support.virtual_time import in_virtual_time, ticks, virtual_now_s


def _target() -> TableTarget:
    table = TargetTable('first_free')
    return table.add_target(target('1', slots=5), 1)


async def _offer(each: TableTarget, source: random.Random) -> None:
    work_ms = random_work_ms(source)
    try:
        await each.run(work_ms, 0)
    except PlacementFault:
        return


async def _load(each: TableTarget, length_s: float, seed: int) -> list[float]:
    """Offer 25 calls a second; return the times at which it was slow."""
    source = random.Random(seed)
    slow_s: list[float] = []
    async for number in ticks(round(length_s * 1000), 0.001):
        if number % 40 == 0:
            asyncio.get_running_loop().create_task(_offer(each, source))
        if each.admission.run_times.slow_factor > 1:
            slow_s.append(virtual_now_s())
    return slow_s


@in_virtual_time
async def test_slow_target_refuses_soon_after_a_late_run() -> None:
    """Guards against calls that go to a target which a neighbour slows, and
    against one that is avoided long after it.

    The load: 25 calls a second at 5 slots, of which 3 in 100 take seven times
    as long; runs that start take 2.5 times as long for 1.5 s.
    """
    async for seed in ticks(10, 1):
        each = _target()
        await _load(each, 5, seed)
        each.speed = 0.4
        began_s = virtual_now_s()
        slow_s = await _load(each, 0.6, seed)
        runs = each.runs
        slow_s += await _load(each, 0.9, seed)
        first_late_s = began_s + LATE_FACTOR * WORK_MS / 1000
        assert slow_s[0] - first_late_s < 0.2 + 0.04
        # All five slots would run 10 calls.
        assert each.runs - runs <= 6
        each.speed = 1
        await _load(each, 1, seed)
        assert await _load(each, 1, seed) == []


@in_virtual_time
async def test_few_long_runs_are_no_slow_period() -> None:
    """Guards against targets that are avoided for runs that are long by
    chance: 3 in 100 take seven times as long, over two minutes.
    """
    slow_s = await _load(_target(), 120, 1)
    assert len(slow_s) < 0.01 * 120_000


@in_virtual_time
async def test_pace_does_not_depend_on_the_mix_of_routes() -> None:
    """Guards against a target that looks fast because its last runs were of
    a route with short runs.
    """
    run_times = _target().admission.run_times
    for number in range(400):
        route, run_ms = ('quote', 52.0) if number % 2 else ('lookup', 178.0)
        run_times.record(run_ms, failed=False, route=route)
    before_ms = run_times.expected_ms
    assert before_ms == pytest.approx(115, rel=0.1)
    for _ in range(5):
        run_times.record(52, failed=False, route='quote')
    assert run_times.expected_ms == pytest.approx(before_ms, rel=0.06)
    for _ in range(10):
        run_times.record(2 * 52, failed=False, route='quote')
    assert run_times.expected_ms > 1.25 * before_ms

"""Tests of the retry budget of all nodes where the table has accounts.

The load is that of the service orders in docs/hard-load.md: 1,100 calls a
second at 62 nodes, 164 retries in 10 s beside a fifth of the calls.
"""

import pytest

from tests.support.retry_world import Load, RetryWorld
from tests.support.virtual_time import in_virtual_time

NODES = 62


def _load(for_s: float, **changes: float) -> Load:
    fields: dict[str, float] = {'per_s': 1100, 'failing': 0, 'nested': 0}
    return Load(for_s=for_s, **(fields | changes))


@pytest.mark.parametrize('per_s', [30, 330, 1100])
@in_virtual_time
async def test_calls_that_fall_after_a_burst_of_retries(per_s: float) -> None:
    """Guards against retries that are saved for 10 s, made at once and then
    stand beside fewer calls.
    """
    world = RetryWorld(NODES)
    await world.play(_load(10))
    await world.play(_load(1, failing=1))
    await world.play(_load(12, per_s=per_s, failing=1))
    assert world.excess() <= 0


@pytest.mark.parametrize('nested', [0.12, 0.19, 0.5])
@in_virtual_time
async def test_nested_retries_after_own_ones(nested: float) -> None:
    """Guards against own retries that leave no room for the nested retries
    which follow them, and against nested ones that alone exceed the bound.
    """
    world = RetryWorld(NODES)
    await world.play(_load(10))
    await world.play(_load(5, failing=0.4))
    await world.play(_load(10, failing=0.22, nested=nested))
    assert world.excess() <= 0


@in_virtual_time
async def test_retries_reach_most_of_the_ratio() -> None:
    """Guards against credit that is lost between the calls of one node."""
    world = RetryWorld(NODES)
    await world.play(_load(20, failing=0.1))
    assert world.retried > 0.85 * world.failed
    world = RetryWorld(NODES)
    await world.play(_load(20, failing=0.4))
    assert world.retried > 0.15 * 20 * 1100

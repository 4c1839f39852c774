"""Tests of queues, limits and retry budgets under overload."""

import asyncio
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from mustardspur_node.calls.balancing import Balancer
from mustardspur_node.calls.budgets import (
    MAX_CHAIN_RETRIES,
    ChainBudget,
    RetryBudget,
)
from mustardspur_node.calls.endpoints import Endpoint
from mustardspur_node.calls.limits import AdaptiveLimit
from mustardspur_node.calls.queues import (
    CallQueue,
    DeadlineTooClose,
    QueueFull,
)

from tests.node.stand_ins.endpoints import make_class, make_endpoint

QUICK = make_class()
BULK = make_class(1)
SLOTS = 9


def _full_endpoint() -> Endpoint:
    endpoint = make_endpoint('one', slots=SLOTS)
    for _ in range(SLOTS):
        endpoint.acquire(QUICK)
    return endpoint


async def test_quick_calls_leave_the_queue_first() -> None:
    """Guards against bulk calls that starve the quick class."""
    endpoint = _full_endpoint()
    balancer = Balancer('1', [[endpoint]], random.random)
    queue = CallQueue()
    served: list[int] = []
    latest_at = asyncio.get_running_loop().time() + 60

    async def factory(priority: int) -> None:
        call_class = BULK if priority else QUICK
        await queue.wait(balancer, call_class, [], latest_at)
        served.append(priority)

    waiting = [asyncio.create_task(factory(kind)) for kind in (1, 1, 0, 1, 0)]
    await asyncio.sleep(0)
    assert queue.must_wait(0) and queue.length == 5
    for _ in waiting:
        endpoint.release(QUICK)
        endpoint.release(QUICK)
        queue.dispatch()
    await asyncio.gather(*waiting)
    assert served == [0, 0, 1, 1, 1]
    assert not queue.length


async def test_queue_is_bounded_by_length_and_deadline() -> None:
    """Guards against queueing calls that cannot meet their deadline."""
    balancer = Balancer('1', [[_full_endpoint()]], random.random)
    queue = CallQueue()
    now = asyncio.get_running_loop().time()
    small = make_class(0, queue_limit=1)
    with pytest.raises(DeadlineTooClose):
        await queue.wait(balancer, small, [], now - 1)
    first = asyncio.create_task(queue.wait(balancer, small, [], now + 60))
    await asyncio.sleep(0)
    with pytest.raises(QueueFull):
        await queue.wait(balancer, small, [], now + 60)
    first.cancel()
    await asyncio.gather(first, return_exceptions=True)
    assert not queue.length


async def test_cancelled_call_releases_its_slot() -> None:
    """Guards against slots leaked by calls cancelled in the queue."""
    endpoint = _full_endpoint()
    balancer = Balancer('1', [[endpoint]], random.random)
    queue = CallQueue()
    latest_at = asyncio.get_running_loop().time() + 60
    call = asyncio.create_task(queue.wait(balancer, QUICK, [], latest_at))
    await asyncio.sleep(0)
    endpoint.release(QUICK)
    queue.dispatch()
    assert endpoint.in_flight == SLOTS
    call.cancel()
    await asyncio.gather(call, return_exceptions=True)
    assert endpoint.in_flight == SLOTS - 1


def test_limit_follows_the_target() -> None:
    """Guards against a limit that ignores queueing or never recovers."""
    limit = AdaptiveLimit(SLOTS)
    limit.on_success('stock', 10, SLOTS, 0)
    for second in range(1, 30):
        limit.on_success('stock', 100, SLOTS, second)
    assert limit.current == 2
    for second in range(30, 200):
        limit.on_success('stock', 10, SLOTS, second)
    assert limit.current == SLOTS
    # The latency of one route does not indicate queueing on another.
    limit.on_success('batches', 100, SLOTS, 200)
    assert limit.current == SLOTS


def test_retries_of_a_node_stay_below_their_ratio() -> None:
    """Guards against retries that double the load when every call fails."""
    budget = RetryBudget(0.1)
    spent = 0
    for _ in range(1000):
        budget.deposit()
        spent += budget.withdraw()
    assert 100 <= spent <= 110
    assert not RetryBudget(0).withdraw()


@given(st.integers(1, 9), st.randoms(use_true_random=False))
def test_chain_adds_a_bounded_number_of_runs(
    depth: int,
    random_source: random.Random,
) -> None:
    """Guards against retries that multiply over the levels of a chain."""
    assert _leaf_runs(depth, None, random_source) <= 1 + MAX_CHAIN_RETRIES


def _leaf_runs(
    levels: int,
    header: str | None,
    random_source: random.Random,
) -> int:
    """Return the runs of a leaf that always fails."""
    if not levels:
        return 1
    budget = ChainBudget(header)
    runs = 0
    again = True
    while again:
        forwarded_budget = budget.allocate()
        below = _leaf_runs(levels - 1, str(forwarded_budget), random_source)
        runs += below
        # The unspent budget is refunded, unless the response is lost.
        unspent = max(forwarded_budget - (below - 1), 0)
        budget.refund(unspent * random_source.randint(0, 1))
        again = budget.withdraw()
    return runs


@pytest.mark.parametrize('header', ['x', '-1', '1.5', '99', '', '\u0663'])
def test_malformed_chain_budget_allows_no_retries(header: str) -> None:
    """Guards against a caller that grants itself retries."""
    assert ChainBudget(header).remaining == 0
    assert ChainBudget('9').remaining == MAX_CHAIN_RETRIES

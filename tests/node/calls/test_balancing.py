"""Guards against a wrong choice of targets."""

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st
from mustardspur_core.locations import Distance
from mustardspur_node.calls.balancing import Balancer
from mustardspur_node.calls.endpoints import Endpoint
from mustardspur_node.calls.links import NODE_BYTES_PER_S
from mustardspur_node.calls.subsets import (
    SUBSET_SIZE,
    NodePosition,
    choose_subset,
)

from tests.node.stand_ins.endpoints import make_class, make_endpoint

QUICK = make_class()
BULK = make_class(1)


def _balancer(*levels: list[Endpoint]) -> Balancer:
    return Balancer('1', levels, random.Random(3).random)


def _acquire_slots(balancer: Balancer, count: int) -> Counter[str]:
    counts: Counter[str] = Counter()
    for _ in range(count):
        endpoint = balancer.pick(QUICK, 1)
        if endpoint is not None:
            endpoint.acquire(QUICK)
            counts[endpoint.target.address] += 1
    return counts


def test_farther_targets_get_only_excess_calls() -> None:
    """Guards against using the paid link while nearer targets are free."""
    near = [make_endpoint('near')]
    region = [make_endpoint('region', Distance.SAME_REGION)]
    far = [make_endpoint('far', Distance.OTHER_REGION)]
    balancer = _balancer(near, region, far)
    assert _acquire_slots(balancer, 9) == {'near': 9}
    assert _acquire_slots(balancer, 9) == {'region': 9}
    assert _acquire_slots(balancer, 20) == {'far': 9}


def test_paid_link_has_a_limit() -> None:
    """Guards against one node saturating a link that others share."""
    far = make_endpoint('far', Distance.OTHER_REGION)
    balancer = _balancer([far])
    link_meter = far.link_meter
    assert link_meter is not None and balancer.pick(QUICK, 0) is far
    link_meter.count(10 * NODE_BYTES_PER_S)
    assert balancer.pick(QUICK, 1) is None
    assert balancer.pick(QUICK, 20) is far
    assert link_meter.bytes_total == 10 * NODE_BYTES_PER_S


@pytest.mark.parametrize('damage', ['slow', 'refusing', 'busy'])
def test_worse_target_gets_fewer_calls(damage: str) -> None:
    """Guards against a degraded target keeping its share of the calls."""
    level = [make_endpoint(f'e{number}') for number in range(4)]
    balancer = _balancer(level)
    bad = level[0]
    if damage == 'slow':
        bad.on_success('stock', 20, 0)
    elif damage == 'refusing':
        bad.on_refusal(0, 0)
    else:
        bad.acquire(QUICK)
    picked = [balancer.pick(QUICK, 1) for _ in range(1000)]
    # Equal draws are repeated once; about 1 in 40 calls still gets `bad`.
    assert picked.count(bad) < 60


def test_new_target_has_a_slow_start() -> None:
    """Guards against a new target receiving its full share at once."""
    level = [make_endpoint('new', slow_start_s=8)]
    level.extend(make_endpoint(f'e{number}') for number in range(3))
    balancer = _balancer(level)
    shares = [
        [balancer.pick(QUICK, now) for _ in range(2000)].count(level[0]) / 2000
        for now in (0, 3, 5, 9)
    ]
    assert shares == sorted(shares)
    assert shares[0] * 100 < 15


def test_lower_priority_leaves_a_reserve() -> None:
    """Guards against bulk calls that occupy every slot of a target."""
    endpoint = make_endpoint('one', slots=9)
    acquired = 0
    while endpoint.has_capacity(BULK, 1):
        endpoint.acquire(BULK)
        acquired += 1
    assert acquired == 8
    assert endpoint.has_capacity(QUICK, 1)


@given(
    members=st.integers(1, 120),
    nodes=st.integers(1, 200),
)
def test_subsets_are_even_over_nodes(members: int, nodes: int) -> None:
    """Guards against an uneven number of nodes for each target."""
    names = [f't{number}' for number in range(members)]
    counts = Counter({name: 0 for name in names})
    for rank in range(nodes):
        subset = choose_subset(names, NodePosition(rank, nodes))
        assert len(set(subset)) == min(members, SUBSET_SIZE)
        counts.update(subset)
    assert max(counts.values()) - min(counts.values()) <= 1

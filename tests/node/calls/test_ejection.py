"""Tests of the bounds of ejection."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from mustardspur_node.calls.ejection import (
    CONSECUTIVE_FAILURES,
    Ejector,
    reinstate,
)
from mustardspur_node.calls.endpoints import Endpoint

from tests.node.stand_ins.endpoints import make_class, make_endpoint


def _make_endpoints(*data_centres: str) -> list[Endpoint]:
    return [
        make_endpoint(f'{index}', data_centre=data_centre)
        for index, data_centre in enumerate(data_centres)
    ]


def _fail(endpoint: Endpoint, now: float = 1) -> None:
    for _ in range(CONSECUTIVE_FAILURES):
        endpoint.on_failure(1, now)
        assert endpoint.ejection.policy is not None
        endpoint.ejection.policy.on_failure(endpoint, now, unreachable=False)


def _ejected(endpoints: list[Endpoint]) -> list[int]:
    return [
        place
        for place, endpoint in enumerate(endpoints)
        if endpoint.ejection.until
    ]


@pytest.mark.parametrize(
    ('data_centres', 'failing', 'ejected'),
    [
        ('a', [0], []),
        ('aa', [0], [0]),
        ('aa', [0, 1], [0]),
        ('aaaaaa', [0, 1, 2, 3, 4], [0, 1, 2]),
        # A lost data centre counts as one target, whatever its size.
        ('aaaabb', [0, 1, 2, 3], [0, 1, 2, 3]),
        ('aaaaab', [0, 1, 2, 3, 4], [0, 1, 2, 3, 4]),
        ('aaaabb', [0, 1, 2, 3, 4], [0, 1, 2, 3, 4]),
        ('aaaabb', [0, 1, 2, 3, 4, 5], [0, 1, 2, 3, 4]),
    ],
)
def test_ejection_is_bounded(
    data_centres: str,
    failing: list[int],
    ejected: list[int],
) -> None:
    """Guards against ejecting all targets, or none of a lost data centre."""
    endpoints = _make_endpoints(*data_centres)
    Ejector(endpoints)
    for place in failing:
        _fail(endpoints[place])
    assert _ejected(endpoints) == ejected


@given(
    data_centres=st.lists(st.sampled_from('abc'), min_size=1, max_size=12),
    order=st.lists(st.integers(0, 11), max_size=40),
)
def test_never_all_are_ejected(
    data_centres: list[str],
    order: list[int],
) -> None:
    """Guards against an order of failures that ejects all targets."""
    endpoints = _make_endpoints(*data_centres)
    Ejector(endpoints)
    for place in order:
        _fail(endpoints[place % len(endpoints)])
    assert len(_ejected(endpoints)) < len(endpoints)


def test_reinstatement_is_slow_and_ejections_grow() -> None:
    """Guards against a reinstated target with its full share at once."""
    endpoints = _make_endpoints('a', 'a')
    ejector = Ejector(endpoints)
    durations = []
    now: float = 1
    for _ in range(7):
        _fail(endpoints[0], now)
        durations.append(int(endpoints[0].ejection.until - now))
        assert not endpoints[0].has_capacity(make_class(), now)
        now = endpoints[0].ejection.until
        assert ejector.due(now) == [endpoints[0]]
        reinstate(endpoints[0], now)
        assert endpoints[0].slow_start.share(now) * 10 < 2
    assert durations == [1, 2, 4, 8, 16, 16, 16]
    endpoints[0].on_failure(1, now)
    assert ejector.on_failure(endpoints[0], now, unreachable=False)

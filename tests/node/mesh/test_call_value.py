"""Tests of the value of calls that come back."""

import pytest
from mustardspur_node.mesh.call_value import LATE_RANK, CallValues

from tests.core.mesh.builders import route

_ROUTE = route('drafts', timeout_ms=1000.0, objective_ms=300.0, priority=2)


@pytest.mark.parametrize(
    ('name', 'stated_ms', 'useful_ms', 'rank'),
    [
        ('first attempt', 2000.0, 300.0, 2),
        ('comes back in time', 1900.0, 200.0, 2),
        ('comes back late', 1500.0, 1000.0, 2 + LATE_RANK),
        ('last attempt', 400.0, 400.0, 2 + LATE_RANK),
    ],
)
def test_time_that_has_passed_counts(
    name: str,
    stated_ms: float,
    useful_ms: float,
    rank: int,
) -> None:
    """Guards against late calls that take the slots of those in time."""
    values = _known()
    value = values.judge(_ROUTE, stated_ms)
    assert value.useful_ms == pytest.approx(useful_ms), name
    assert value.rank == rank, name


def test_calls_within_calls_are_not_late() -> None:
    """Guards against the rest of another call's time taken for a late try."""
    values = CallValues()
    ranks = {
        values.judge(_ROUTE, 999.0 - stated % spread).rank
        for spread in (4, 900)
        for stated in range(0, 2000, 7)
    }
    assert ranks == {2}


def test_attempts_are_told_apart_while_callers_repeat() -> None:
    """Guards against long waits just when targets are short of slots."""
    values = _known()
    ranks = [
        values.judge(_ROUTE, stated_ms).rank
        for _ in range(100)
        for stated_ms in (2000.0, 1990.0, 1400.0, 900.0, 600.0)
    ]
    assert ranks[-5:] == [2, 2, *(2 + LATE_RANK for _ in range(3))]


def test_routes_that_are_gone_are_forgotten() -> None:
    """Guards against memory that grows with each change of the routes."""
    values = _known()
    values.forget_except(set())
    assert values.judge(_ROUTE, 400.0).rank == 2


def _known() -> CallValues:
    """Return values that know the first attempts of a route."""
    values = CallValues()
    ranks = {values.judge(_ROUTE, 2000.0).rank for _ in range(20)}
    assert ranks == {2}
    return values

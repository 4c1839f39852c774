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
    values = CallValues()
    values.judge(_ROUTE, 2000.0)
    value = values.judge(_ROUTE, stated_ms)
    assert value.useful_ms == pytest.approx(useful_ms), name
    assert value.rank == rank, name


def test_call_within_a_call_is_not_late() -> None:
    """Guards against short deadlines that are taken for late attempts."""
    inner = route('checks', timeout_ms=500.0, objective_ms=60.0, priority=0)
    values = CallValues()
    values.judge(inner, 200.0)
    assert values.judge(inner, 190.0).rank == 0


def test_routes_that_are_gone_are_forgotten() -> None:
    """Guards against memory that grows with each change of the routes."""
    values = CallValues()
    values.judge(_ROUTE, 2000.0)
    values.forget_except(set())
    assert values.judge(_ROUTE, 400.0).rank == 2

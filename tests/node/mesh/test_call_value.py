"""Tests of the value of calls and their retries."""

import pytest
from mustardspur_node.mesh.call_value import LATE_RANK, CallEvaluator

from tests.core.mesh.builders import route

_ROUTE = route('drafts', timeout_ms=1000.0, objective_ms=300.0, priority=2)


@pytest.mark.parametrize(
    ('name', 'stated_ms', 'useful_ms', 'rank'),
    [
        ('first attempt', 2000.0, 300.0, 2),
        ('retry in time', 1900.0, 200.0, 2),
        ('late retry', 1500.0, 1000.0, 2 + LATE_RANK),
        ('last attempt', 400.0, 400.0, 2 + LATE_RANK),
    ],
)
def test_time_since_first_attempt_counts(
    name: str,
    stated_ms: float,
    useful_ms: float,
    rank: int,
) -> None:
    """Guards against late calls that use the slots of calls in time."""
    evaluator = _trained_evaluator()
    value = evaluator.evaluate(_ROUTE, stated_ms)
    assert value.useful_ms == pytest.approx(useful_ms), name
    assert value.rank == rank, name


def test_calls_within_calls_are_not_late() -> None:
    """Guards against calls within calls that count as late retries.

    Such calls state what remains of the outer call's time, so their times
    vary.
    """
    evaluator = CallEvaluator()
    ranks = {
        evaluator.evaluate(_ROUTE, 999.0 - stated % spread).rank
        for spread in (4, 900)
        for stated in range(0, 2000, 7)
    }
    assert ranks == {2}


def test_attempts_are_distinguished_during_retries() -> None:
    """Guards against long waits while targets are short of slots."""
    evaluator = _trained_evaluator()
    ranks = [
        evaluator.evaluate(_ROUTE, stated_ms).rank
        for _ in range(100)
        for stated_ms in (2000.0, 1990.0, 1400.0, 900.0, 600.0)
    ]
    assert ranks[-5:] == [2, 2, *(2 + LATE_RANK for _ in range(3))]


def test_removed_routes_are_discarded() -> None:
    """Guards against memory that grows with each change of the routes."""
    evaluator = _trained_evaluator()
    evaluator.remove_routes_except(set())
    assert evaluator.evaluate(_ROUTE, 400.0).rank == 2


def _trained_evaluator() -> CallEvaluator:
    """Return an evaluator that has seen first attempts of a route."""
    evaluator = CallEvaluator()
    ranks = {evaluator.evaluate(_ROUTE, 2000.0).rank for _ in range(20)}
    assert ranks == {2}
    return evaluator

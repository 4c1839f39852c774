"""Tests of the ranks of waiting calls."""

import pytest
from mustardspur_node.mesh.call_value import LATE_RANK
from mustardspur_node.mesh.run_costs import MAX_ROUTES, RunCosts


def _costs(**times_ms: float) -> RunCosts:
    costs = RunCosts()
    for route, run_ms in times_ms.items():
        for _ in range(60):
            costs.note(route, run_ms)
    return costs


def test_short_call_is_not_starved() -> None:
    """Guards against calls within calls that never get a slot, which fail
    the calls around them after their work was done.
    """
    costs = _costs(record=42, check=15)
    assert costs.rank('check', 1) == costs.rank('record', 0)


@pytest.mark.parametrize(
    ('first', 'second'),
    [
        (('intake', 1), ('lookup', 2)),
        (('unknown', 0), ('unknown', 1)),
        (('lookup', 9), ('lookup', LATE_RANK)),
        (('lookup', 2), ('check', LATE_RANK)),
    ],
)
def test_urgent_and_early_calls_go_first(
    first: tuple[str, int],
    second: tuple[str, int],
) -> None:
    """Guards against urgent calls behind others of about their length."""
    costs = _costs(intake=78, lookup=70, check=15)
    assert costs.rank(*first) < costs.rank(*second)


def test_routes_that_are_gone_are_dropped() -> None:
    """Guards against memory that grows with each route of a day."""
    costs = RunCosts()
    for number in range(2 * MAX_ROUTES):
        costs.note(f'r{number}', 400)
    assert costs.rank('r0', 0) == costs.rank('never', 0)
    assert costs.rank(f'r{number}', 0) > costs.rank('never', 0)

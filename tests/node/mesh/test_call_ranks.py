"""Tests of the ranks of waiting calls."""

import pytest
from mustardspur_node.mesh.call_ranks import MAX_ROUTES, CallRanks
from mustardspur_node.mesh.call_value import LATE_RANK


def _call_ranks(**times_ms: float) -> CallRanks:
    ranks = CallRanks()
    for route, run_ms in times_ms.items():
        for _ in range(60):
            ranks.record(route, run_ms)
    return ranks


def test_short_call_is_not_starved() -> None:
    """Guards against calls within calls that never get a slot.

    Their refusal fails the outer call after its work was done.
    """
    ranks = _call_ranks(record=42, check=15)
    assert ranks.rank('check', 1) == ranks.rank('record', 0)


@pytest.mark.parametrize(
    ('first', 'second'),
    [
        (('intake', 1), ('lookup', 2)),
        (('unknown', 0), ('unknown', 1)),
        (('lookup', 9), ('lookup', LATE_RANK)),
        (('lookup', 2), ('check', LATE_RANK)),
    ],
)
def test_urgent_calls_and_calls_in_time_go_first(
    first: tuple[str, int],
    second: tuple[str, int],
) -> None:
    """Guards against urgent calls behind others of similar run time."""
    ranks = _call_ranks(intake=78, lookup=70, check=15)
    assert ranks.rank(*first) < ranks.rank(*second)


def test_number_of_routes_is_bounded() -> None:
    """Guards against memory that grows with each new route."""
    ranks = CallRanks()
    for number in range(2 * MAX_ROUTES):
        ranks.record(f'r{number}', 400)
    assert ranks.rank('r0', 0) == ranks.rank('never', 0)
    assert ranks.rank(f'r{number}', 0) > ranks.rank('never', 0)

"""Tests which report of a node on the index in force is stored."""

import pytest
from mustardspur_control.applied import (
    NOT_CONNECTED,
    NOT_REPORTED,
    AppliedTable,
    NodeApplied,
)
from mustardspur_core.messages import Applied


def row(control: str, index: int, reason: str = '') -> NodeApplied:
    """Return a row of node ``n1`` for ``forms``."""
    report = Applied(
        service='forms',
        index=index,
        pending_index=index,
        reason=reason,
    )
    return NodeApplied(control=control, node='n1', report=report)


@pytest.mark.parametrize(
    ('later', 'is_stored'),
    [
        (row('c1', 6), True),
        (row('c1', 5, NOT_CONNECTED), True),
        (row('c2', 5), True),
        (row('c2', 5, NOT_CONNECTED), False),
        (row('c2', 0, NOT_REPORTED), False),
    ],
)
def test_only_reports_change_the_control_of_a_node(
    later: NodeApplied, is_stored: bool
) -> None:
    """Guards against a late report of an old stream replacing a newer one."""
    table = AppliedTable()
    earlier = row('c1', 5)
    table.put(earlier)
    table.put(later)
    expected = later if is_stored else earlier
    assert table.rows('forms') == [expected]

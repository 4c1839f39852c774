"""Tests of the differences between tables."""

from mustardspur_core.mesh.packing import (
    apply_delta,
    difference,
    pack_rows,
    table_rows,
    unpack_rows,
)

from tests.core.mesh.builders import route, table


def test_rows_survive_packing() -> None:
    """Guards against a table that a follower decodes differently."""
    rows = table_rows(table(3, route('a'), route('b', max_attempts=1)))
    assert unpack_rows(pack_rows(rows)) == rows


def test_difference_leads_to_the_new_table() -> None:
    """Guards against a route that stays after its removal, or is lost."""
    old = table(1, route('a'), route('b'), route('c'))
    new = table(2, route('a'), route('b', timeout_ms=50.0), route('d'))
    delta = difference(table_rows(old), 7, table_rows(new), 9)
    assert sorted(delta.routes) == ['b', 'd']
    assert delta.removed == ['c']
    assert apply_delta(old, delta) == new


def test_full_copy_replaces_what_is_held() -> None:
    """Guards against old routes that survive a full copy."""
    held = table(1, route('gone'))
    new = table(5, route('a'))
    delta = difference(None, 4, table_rows(new), 9)
    assert delta.base_index == 0
    assert apply_delta(held, delta) == new

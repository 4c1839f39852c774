"""Tests of the packing of tables and the deltas between them."""

from mustardspur_core.mesh.packing import (
    apply_delta,
    encode_table,
    pack_table,
    table_delta,
    unpack_table,
)

from tests.core.mesh.builders import route, table


def test_unpacked_table_equals_the_packed_one() -> None:
    """A follower decodes the same table that the leader encoded."""
    encoded = encode_table(table(3, route('a'), route('b', max_attempts=1)))
    assert unpack_table(pack_table(encoded)) == encoded


def test_delta_results_in_the_new_table() -> None:
    """A delta removes, changes and adds routes, and retains the others."""
    old = table(1, route('a'), route('b'), route('c'))
    new = table(2, route('a'), route('b', timeout_ms=50.0), route('d'))
    delta = table_delta(encode_table(old), 7, encode_table(new), 9)
    assert sorted(delta.routes) == ['b', 'd']
    assert delta.removed == ['c']
    assert apply_delta(old, delta) == new


def test_full_copy_replaces_the_old_table() -> None:
    """A full copy removes all routes of the old table."""
    old = table(1, route('removed'))
    new = table(5, route('a'))
    delta = table_delta(None, 4, encode_table(new), 9)
    assert delta.base_index == 0
    assert apply_delta(old, delta) == new

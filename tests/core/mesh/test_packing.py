"""Tests of the packing of tables and the deltas between them."""

from mustardspur_core.conversion import encode_array
from mustardspur_core.mesh.packing import (
    apply_delta,
    encode_table,
    pack_delta,
    pack_table,
    table_delta,
    unpack_delta,
    unpack_table,
)

from mustardspur_core.record import replaced

from tests.core.mesh.builders import account, route, table


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


def test_delta_keeps_the_need_for_keys() -> None:
    """Guards against a node that opens its routes when the last account is
    removed, and against other bytes for tables that earlier builds can read.
    """
    old = replaced(table(1, route('a')), accounts={'cafe': account('cafe')})
    new = replaced(table(2, route('a')), closed_without_accounts=True)
    for base in (old, None):
        encoded = unpack_table(pack_table(encode_table(new)))
        encoded_base = encode_table(base) if base else None
        delta = unpack_delta(
            pack_delta(table_delta(encoded_base, 7, encoded, 9))
        )
        assert apply_delta(base, delta) == new
    assert len(encode_array(encode_table(old))) == 5
    assert len(encode_array(encode_table(table(1)))) == 4

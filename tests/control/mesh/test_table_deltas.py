"""Tests of the deltas of the routing table for nodes."""

import pytest
from mustardspur_control.mesh.store import MeshStore
from mustardspur_control.mesh.table_deltas import MAX_CACHED_TABLES, TableDeltas
from mustardspur_core.compression import compress_bytes
from mustardspur_core.mesh.entries import PublishTable
from mustardspur_core.mesh.packing import (
    encode_table,
    pack_table,
    unpack_delta,
)
from mustardspur_core.wire import encode_frame

from tests.core.mesh.builders import route, table


class _PublishedTables:
    """Deltas of a store into which tables are published."""

    def __init__(self) -> None:
        self.store = MeshStore()
        self.deltas = TableDeltas(self.store)

    def publish(self, number: int) -> None:
        encoded = encode_table(
            table(number, route('kept'), route(f'r{number}'))
        )
        entry = PublishTable(
            number=number,
            base=number - 1,
            digest=str(number),
            packed=pack_table(encoded),
            document=b'',
        )
        self.store.apply(number, encode_frame(entry))
        self.deltas.delta(0)


def test_node_is_sent_the_delta_from_its_table() -> None:
    """A change is not sent as a full copy."""
    tables = _PublishedTables()
    tables.publish(1)
    tables.publish(2)
    delta = tables.deltas.delta(1)
    assert delta is not None
    assert list(delta.routes) == ['r2']
    assert delta.removed == ['r1']
    assert tables.deltas.delta(2) is None


def test_node_far_behind_is_sent_a_full_copy() -> None:
    """A node whose table is no longer cached receives the whole table."""
    tables = _PublishedTables()
    last = MAX_CACHED_TABLES + 5
    for number in range(1, last + 1):
        tables.publish(number)
    delta = tables.deltas.delta(1)
    assert delta is not None
    assert delta.base_index == 0
    assert sorted(delta.routes) == ['kept', f'r{last}']


def test_node_ahead_is_sent_nothing() -> None:
    """An instance that lags does not return a node to an older table."""
    tables = _PublishedTables()
    tables.publish(1)
    assert tables.deltas.delta(7) is None


def test_node_some_tables_behind_is_sent_a_delta() -> None:
    """Guards against full copies for nodes whose table is held packed."""
    tables = _PublishedTables()
    for number in range(1, 6):
        tables.publish(number)
    delta = tables.deltas.delta(1)
    assert delta is not None
    assert delta.base_index == 1
    assert list(delta.routes) == ['r5']
    assert delta.removed == ['r1']


def test_packed_delta_is_the_same_delta() -> None:
    """Guards against a node whose table differs from the table in force, and
    against packing a table anew for each node.
    """
    tables = _PublishedTables()
    tables.publish(1)
    delta = tables.deltas.delta(0)
    assert delta is not None
    packed = tables.deltas.packed(delta)
    assert unpack_delta(packed) == delta
    assert tables.deltas.packed(delta) is packed
    tables.publish(2)
    newer = tables.deltas.delta(0)
    assert newer is not None
    assert unpack_delta(tables.deltas.packed(newer)) == newer


@pytest.mark.parametrize('damaged', [b'', b'no delta', compress_bytes(b'\x93')])
def test_damaged_delta_is_an_error_of_its_stream(damaged: bytes) -> None:
    """Guards against an exception that ends the process of the node."""
    with pytest.raises(ValueError):
        unpack_delta(damaged)

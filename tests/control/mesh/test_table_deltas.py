"""Tests of the deltas of the routing table for nodes."""

from mustardspur_control.mesh.store import MeshStore
from mustardspur_control.mesh.table_deltas import MAX_CACHED_TABLES, TableDeltas
from mustardspur_core.mesh.entries import PublishTable
from mustardspur_core.mesh.packing import encode_table, pack_table
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

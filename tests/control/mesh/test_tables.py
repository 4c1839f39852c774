"""Tests of what a node is sent of the routing table."""

from mustardspur_control.mesh.store import MeshStore
from mustardspur_control.mesh.tables import KEPT_TABLES, TableFeed
from mustardspur_core.mesh.entries import PublishTable
from mustardspur_core.mesh.packing import pack_rows, table_rows
from mustardspur_core.wire import encode_frame

from tests.core.mesh.builders import route, table


class _Feed:
    """A feed over a store into which tables are published."""

    def __init__(self) -> None:
        self.store = MeshStore()
        self.feed = TableFeed(self.store)

    def publish(self, number: int) -> None:
        rows = table_rows(table(number, route('kept'), route(f'r{number}')))
        entry = PublishTable(
            number=number,
            base=number - 1,
            digest=str(number),
            packed=pack_rows(rows),
            document=b'',
        )
        self.store.apply(number, encode_frame(entry))
        self.feed.delta(0)


def test_node_is_sent_what_it_lacks() -> None:
    """Guards against a full copy at each change."""
    feed = _Feed()
    feed.publish(1)
    feed.publish(2)
    delta = feed.feed.delta(1)
    assert delta is not None
    assert list(delta.routes) == ['r2']
    assert delta.removed == ['r1']
    assert feed.feed.delta(2) is None


def test_node_far_behind_is_sent_a_full_copy() -> None:
    """Guards against a node that stays on a table which is not kept."""
    feed = _Feed()
    last = KEPT_TABLES + 5
    for number in range(1, last + 1):
        feed.publish(number)
    delta = feed.feed.delta(1)
    assert delta is not None
    assert delta.base_index == 0
    assert sorted(delta.routes) == ['kept', f'r{last}']


def test_node_ahead_is_sent_nothing() -> None:
    """Guards against an instance that lags and takes a node back."""
    feed = _Feed()
    feed.publish(1)
    assert feed.feed.delta(7) is None

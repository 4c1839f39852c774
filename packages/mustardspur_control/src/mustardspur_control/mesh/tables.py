"""The routing table as the nodes are sent it."""

from collections import OrderedDict
from typing import Final

from mustardspur_core.mesh.packing import (
    TableDelta,
    TableRows,
    difference,
    unpack_rows,
)

from mustardspur_control.mesh.store import MeshStore

# Tables that a node can be brought forward from without a full copy.
KEPT_TABLES: Final = 32


class TableFeed:
    """Differences between the newest table and earlier ones.

    Parameters
    ----------
    store : MeshStore
        The applied state.
    """

    __slots__ = ('_deltas_by_base', '_newest_index', '_rows_by_index', '_store')

    def __init__(self, store: MeshStore) -> None:
        """Start without tables."""
        self._store = store
        self._rows_by_index: OrderedDict[int, TableRows] = OrderedDict()
        self._deltas_by_base: dict[int, TableDelta] = {}
        self._newest_index = 0

    @property
    def index(self) -> int:
        """Log index of the table in force, 0 for none."""
        return self._store.state.table_index

    def delta(self, held_index: int) -> TableDelta | None:
        """Return what a node lacks that holds the table of an index.

        Returns
        -------
        TableDelta or None
            None if it holds the newest, or a newer one than is known here.
        """
        self._refresh()
        if held_index >= self._newest_index:
            return None
        base = self._rows_by_index.get(held_index)
        key = held_index if base else 0
        if key not in self._deltas_by_base:
            self._deltas_by_base[key] = difference(
                base,
                key,
                self._rows_by_index[self._newest_index],
                self._newest_index,
            )
        return self._deltas_by_base[key]

    def _refresh(self) -> None:
        if self.index == self._newest_index:
            return
        self._newest_index = self.index
        self._deltas_by_base.clear()
        self._rows_by_index[self.index] = unpack_rows(self._store.state.packed)
        while len(self._rows_by_index) > KEPT_TABLES:
            self._rows_by_index.popitem(last=False)

"""Deltas of the routing table for the nodes."""

from collections import OrderedDict
from typing import Final

from mustardspur_core.mesh.packing import (
    EncodedTable,
    TableDelta,
    table_delta,
    unpack_table,
)

from mustardspur_control.mesh.store import MeshStore

# Number of the latest tables from which a node is updated by a delta; a node
# with an older table receives a full copy.
MAX_CACHED_TABLES: Final = 32


class TableDeltas:
    """Deltas from earlier tables to the table in force.

    Parameters
    ----------
    store : MeshStore
        The applied state.
    """

    __slots__ = (
        '_deltas_by_base',
        '_newest_index',
        '_store',
        '_tables_by_index',
    )

    def __init__(self, store: MeshStore) -> None:
        """Initialise without tables."""
        self._store = store
        self._tables_by_index: OrderedDict[int, EncodedTable] = OrderedDict()
        self._deltas_by_base: dict[int, TableDelta] = {}
        self._newest_index = 0

    @property
    def index(self) -> int:
        """Log index of the table in force, 0 for none."""
        return self._store.state.table_index

    def delta(self, base_index: int) -> TableDelta | None:
        """Return the delta from a table to the table in force.

        Parameters
        ----------
        base_index : int
            Log index of the table that the node has, 0 for none.

        Returns
        -------
        TableDelta or None
            None if the node has the table in force or a newer one than this
            instance.
        """
        self._refresh()
        if base_index >= self._newest_index:
            return None
        base = self._tables_by_index.get(base_index)
        key = base_index if base else 0
        if key not in self._deltas_by_base:
            self._deltas_by_base[key] = table_delta(
                base,
                key,
                self._tables_by_index[self._newest_index],
                self._newest_index,
            )
        return self._deltas_by_base[key]

    def _refresh(self) -> None:
        if self.index == self._newest_index:
            return
        self._newest_index = self.index
        self._deltas_by_base.clear()
        self._tables_by_index[self.index] = unpack_table(
            self._store.state.packed
        )
        while len(self._tables_by_index) > MAX_CACHED_TABLES:
            self._tables_by_index.popitem(last=False)

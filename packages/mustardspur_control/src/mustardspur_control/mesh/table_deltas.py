"""Deltas of the routing table for the nodes."""

from collections import OrderedDict
from typing import Final

from mustardspur_core.mesh.packing import (
    EncodedTable,
    TableDelta,
    pack_delta,
    table_delta,
    unpack_table,
)

from mustardspur_control.mesh.store import MeshStore

# Number of the latest tables from which a node is updated by a delta; a node
# with an older table receives a full copy.
MAX_CACHED_TABLES: Final = 32
# Tables that are held unpacked: the one in force and the one before, from
# which most deltas are made. An unpacked table takes about a hundred times
# the memory of a packed one.
MAX_UNPACKED_TABLES: Final = 2


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
        '_packed_deltas_by_base',
        '_packed_by_index',
        '_store',
        '_unpacked_by_index',
    )

    def __init__(self, store: MeshStore) -> None:
        """Initialise without tables."""
        self._store = store
        self._packed_by_index: OrderedDict[int, bytes] = OrderedDict()
        self._unpacked_by_index: OrderedDict[int, EncodedTable] = OrderedDict()
        self._deltas_by_base: dict[int, TableDelta] = {}
        self._packed_deltas_by_base: dict[int, bytes] = {}
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
        key = base_index if base_index in self._packed_by_index else 0
        if key not in self._deltas_by_base:
            self._deltas_by_base[key] = table_delta(
                self._table(key) if key else None,
                key,
                self._table(self._newest_index),
                self._newest_index,
            )
        return self._deltas_by_base[key]

    def packed(self, delta: TableDelta) -> bytes:
        """Return a delta from `delta` packed, once for all nodes."""
        packed = self._packed_deltas_by_base.get(delta.base_index)
        if packed is None:
            packed = pack_delta(delta)
            self._packed_deltas_by_base[delta.base_index] = packed
        return packed

    def _table(self, index: int) -> EncodedTable:
        table = self._unpacked_by_index.get(index)
        if table is None:
            table = unpack_table(self._packed_by_index[index])
        return table

    def _refresh(self) -> None:
        if self.index == self._newest_index:
            return
        self._newest_index = self.index
        self._deltas_by_base.clear()
        self._packed_deltas_by_base.clear()
        packed = self._store.state.packed
        self._packed_by_index[self.index] = packed
        self._unpacked_by_index[self.index] = unpack_table(packed)
        while len(self._packed_by_index) > MAX_CACHED_TABLES:
            self._packed_by_index.popitem(last=False)
        while len(self._unpacked_by_index) > MAX_UNPACKED_TABLES:
            self._unpacked_by_index.popitem(last=False)

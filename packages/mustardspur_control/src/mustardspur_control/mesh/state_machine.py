"""State machine that combines the stores of profiles and of a mesh."""

from typing import Any, Final

import msgpack
from mustardspur_core.mesh import entries
from mustardspur_core.wire import MalformedFrame, decode_frame

from mustardspur_control.mesh.block_entries import BLOCK_ENTRY_TYPES
from mustardspur_control.mesh.evacuation_entries import EVACUATION_ENTRY_TYPES
from mustardspur_control.mesh.store import MeshStore
from mustardspur_control.store import Store

_MESH_ENTRY_TYPES: Final = (
    entries.PublishTable,
    entries.ChangeTable,
    entries.StartTransfer,
    entries.StepTransfer,
    entries.SetBaseVersion,
    *EVACUATION_ENTRY_TYPES,
    *BLOCK_ENTRY_TYPES,
)


class MeshStateMachine:
    """State machine of a control instance of a mesh.

    Explanation
    ===========

    Profiles and routing tables share one log and thereby one group of voters.

    Parameters
    ----------
    store : Store
        Profiles, the services that follow them, and moves.
    mesh : MeshStore
        Routing table, transfers and base versions.
    """

    __slots__ = ('mesh', 'store')

    def __init__(self, store: Store, mesh: MeshStore) -> None:
        """Initialise the state machine with its two stores."""
        self.store = store
        self.mesh = mesh

    def apply(self, index: int, entry: bytes) -> object:
        """Apply an entry to the store of its type and return the answer."""
        try:
            body = decode_frame(entry).body
        except MalformedFrame:
            return self.store.apply(index, entry)
        if isinstance(body, _MESH_ENTRY_TYPES):
            return self.mesh.apply_body(index, body)
        return self.store.apply(index, entry)

    def snapshot(self) -> bytes:
        """Return the snapshots of both stores as msgpack."""
        packed: bytes = msgpack.packb(
            [self.store.snapshot(), self.mesh.snapshot()],
        )
        return packed

    def restore(self, index: int, snapshot: bytes) -> None:
        """Replace both states by a snapshot taken at an index."""
        snapshots: Any = msgpack.unpackb(snapshot)
        self.store.restore(index, snapshots[0])
        self.mesh.restore(index, snapshots[1])

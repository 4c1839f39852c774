"""One state machine out of the stores of profiles and of a mesh."""

from typing import Any, Final

import msgpack
from mustardspur_core.mesh import entries
from mustardspur_core.wire import MalformedFrame, decode_frame

from mustardspur_control.mesh.store import MeshStore
from mustardspur_control.store import Store

_MESH_ENTRIES: Final = (
    entries.PublishTable,
    entries.StartTransfer,
    entries.StepTransfer,
    entries.SetBaseVersion,
)


class MeshMachine:
    """State machine of a control instance of a mesh.

    Explanation
    ===========

    Profiles and routing tables share one log, so that one group of voters
    serves both interfaces.

    Parameters
    ----------
    store : Store
        Profiles, the services that follow them and their moves.
    mesh : MeshStore
        Routing table and transfers.
    """

    __slots__ = ('mesh', 'store')

    def __init__(self, store: Store, mesh: MeshStore) -> None:
        """Keep both."""
        self.store = store
        self.mesh = mesh

    def apply(self, index: int, entry: bytes) -> object:
        """Apply an entry to the store that it belongs to."""
        try:
            body = decode_frame(entry).body
        except MalformedFrame:
            return self.store.apply(index, entry)
        if isinstance(body, _MESH_ENTRIES):
            return self.mesh.apply_body(index, body)
        return self.store.apply(index, entry)

    def snapshot(self) -> bytes:
        """Return both states."""
        packed: bytes = msgpack.packb(
            [self.store.snapshot(), self.mesh.snapshot()],
        )
        return packed

    def restore(self, index: int, snapshot: bytes) -> None:
        """Replace both states."""
        parts: Any = msgpack.unpackb(snapshot)
        self.store.restore(index, parts[0])
        self.mesh.restore(index, parts[1])

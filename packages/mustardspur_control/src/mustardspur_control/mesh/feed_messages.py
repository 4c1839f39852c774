"""Messages to nodes of this and of earlier builds."""

from mustardspur_core.mesh.control_messages import (
    ACCEPTS_ROLLED_BACK,
    MeshPackedTable,
    MeshTable,
    MeshTransfers,
)
from mustardspur_core.mesh.packing import TableDelta

from mustardspur_control.mesh.store import MeshState
from mustardspur_control.mesh.table_deltas import TableDeltas


def table_message(
    tables: TableDeltas, delta: TableDelta, *, packed: bool, confirmed: bool
) -> MeshTable | MeshPackedTable:
    """Return an update of the table for a node.

    Parameters
    ----------
    tables : TableDeltas
        Packs deltas, once for all nodes.
    delta : TableDelta
        The update.
    packed : bool
        Whether the node accepts `MeshPackedTable`.
    confirmed : bool
        Whether a quorum has confirmed the table.
    """
    if packed:
        return MeshPackedTable(packed=tables.packed(delta), confirmed=confirmed)
    return MeshTable(delta=delta, confirmed=confirmed)


def transfers_message(state: MeshState, greeting_id: int) -> MeshTransfers:
    """Return the transfers for a node.

    A node of an earlier build ends its stream at a field that it does not
    know, and would attach again and again.

    Parameters
    ----------
    state : MeshState
        The applied state.
    greeting_id : int
        Request identifier of the first frame of the node.
    """
    is_accepted = greeting_id == ACCEPTS_ROLLED_BACK
    return MeshTransfers(
        index=state.index,
        transfers=list(state.transfers.values()),
        base_versions=state.base_versions,
        evacuated=state.evacuated,
        rolled_back=state.rolled_back if is_accepted else {},
    )

"""Which version of a service a call goes to."""

import random

from mustardspur_core.mesh.model import MeshTarget, Transfer, TransferState

from mustardspur_node.mesh.view import MeshView


def eligible_targets(
    view: MeshView,
    service: str,
    choice: random.Random,
) -> list[MeshTarget]:
    """Return the ready targets of the version that a call goes to.

    Explanation
    ===========

    During a transfer a call is assigned to one version at random by the
    share and stays there: calls that do not fit at the old version must not
    raise the share of the new one. Without a transfer a call goes to the
    version that the service is known to have.
    """
    rows = view.ready_targets(service)
    transfer = view.transfers.get(service)
    if transfer is not None and transfer.state == TransferState.RUNNING:
        return _transferred(rows, transfer, choice)
    base = view.base_versions.get(service)
    if transfer is not None and transfer.state == TransferState.ROLLED_BACK:
        rows = [row for row in rows if row.version != transfer.version]
    if base is None:
        return rows
    return [row for row in rows if row.version == base] or rows


def _transferred(
    rows: list[MeshTarget],
    transfer: Transfer,
    choice: random.Random,
) -> list[MeshTarget]:
    new = [row for row in rows if row.version == transfer.version]
    old = [row for row in rows if row.version != transfer.version]
    if new and choice.random() < transfer.share:
        return new
    return old

"""Selection of the version of a service for a call."""

import random

from mustardspur_core.mesh.model import MeshTarget, Transfer, TransferState

from mustardspur_node.mesh.homes import Homes
from mustardspur_node.mesh.view import MeshView


def eligible_targets(
    view: MeshView,
    service: str,
    random_source: random.Random,
    homes: Homes,
) -> list[MeshTarget]:
    """Return the ready targets of the version that a call is assigned to.

    Explanation
    ===========

    During a transfer a call is assigned to one version at random by the
    share and is not reassigned: calls that find no slot at the old version
    must not raise the share of the new one. Without a transfer a call goes
    to the base version of the service, or to any version if that has no
    ready target. Targets outside the homes of the call do not count.
    """
    targets = homes.select(view.ready_targets(service))
    transfer = view.transfers.get(service)
    if transfer is not None and transfer.state == TransferState.RUNNING:
        return _targets_in_transfer(targets, transfer, random_source)
    base = view.base_versions.get(service)
    if transfer is not None and transfer.state == TransferState.ROLLED_BACK:
        targets = [
            target for target in targets if target.version != transfer.version
        ]
    if base is None:
        return targets
    return [target for target in targets if target.version == base] or targets


def _targets_in_transfer(
    targets: list[MeshTarget],
    transfer: Transfer,
    random_source: random.Random,
) -> list[MeshTarget]:
    new = [target for target in targets if target.version == transfer.version]
    old = [target for target in targets if target.version != transfer.version]
    if new and random_source.random() < transfer.share:
        return new
    return old

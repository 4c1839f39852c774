"""Selection of the version of a service for a call."""

import random

from mustardspur_core.mesh.model import MeshTarget, TransferState

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
    must not raise the share of the new one. All other calls go to the base
    version of the service. If that has no ready target, they go to any
    version that was not rolled back. Targets outside the homes of the call
    do not count.
    """
    targets = homes.select(view.ready_targets(service))
    transfer = view.transfers.get(service)
    if transfer is not None and transfer.state == TransferState.RUNNING:
        new = _of_version(targets, transfer.version)
        if new and random_source.random() < transfer.share:
            return new
    base = view.base_versions.get(service)
    if base is not None:
        targets_at_base = _of_version(targets, base)
        if targets_at_base:
            return targets_at_base
    excluded = _excluded_versions(view, service)
    return [each for each in targets if each.version not in excluded]


def _of_version(targets: list[MeshTarget], version: str) -> list[MeshTarget]:
    return [target for target in targets if target.version == version]


def _excluded_versions(view: MeshView, service: str) -> set[str]:
    """Return the versions that receive no calls but those of a transfer."""
    excluded = set(view.rolled_back.get(service, ()))
    transfer = view.transfers.get(service)
    if transfer is not None and transfer.state != TransferState.COMPLETED:
        excluded.add(transfer.version)
    return excluded

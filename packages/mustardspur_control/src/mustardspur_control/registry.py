"""Registry of the targets that are known to a control instance."""

import time
from collections.abc import Callable
from typing import Final

from mustardspur_core.messages import TargetUpdate
from mustardspur_core.settings import Settings
from mustardspur_core.state import Target, TargetState
from mustardspur_core.target_list import PARTIAL_PREFIX, TargetList

from mustardspur_control.known_targets import KnownTargets
from mustardspur_control.leases import Leases

# Leases after which the targets of a lost control instance are removed; its
# nodes first have to detect the loss, reconnect and announce again.
ORPHAN_LEASES: Final = 3


class Registry:
    """All targets of this region, and samples of other regions.

    Explanation
    ===========

    After its start the registry is not settled: nodes that are reconnecting
    have not announced their targets yet. Until every node had enough time to
    do so, the registry sends no removals to nodes.

    Parameters
    ----------
    settings : Settings
        Settings of the control instance.
    clock : callable
        Monotonic clock in seconds.
    """

    __slots__ = (
        '_leases',
        '_settings',
        'known_targets',
        'own_targets',
        'settled',
    )

    def __init__(
        self,
        settings: Settings,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initialise empty and not settled."""
        self._settings = settings
        self._leases = Leases(settings, clock)
        self.known_targets = KnownTargets()
        self.own_targets = TargetList('')
        self.settled = False

    def targets(self, service: str) -> list[Target]:
        """Return the targets of a service in order of their identifiers."""
        by_id = self.known_targets.list_of(service).targets_by_id
        return [by_id[target_id] for target_id in sorted(by_id)]

    def announce(self, node: str, targets: list[Target]) -> list[str]:
        """Replace the targets of a node of this control instance.

        Returns
        -------
        list of str
            Reason for each refused target, empty if none was refused.
        """
        faults = [(target, self._fault(node, target)) for target in targets]
        self._leases.renew(node)
        earlier = self.known_targets.targets_of(node)
        # A refused announcement, such as one with an older incarnation, does
        # not remove the target that was accepted before.
        announced = {target.id for target in targets}
        accepted = {name: earlier[name] for name in earlier.keys() & announced}
        accepted.update(
            {target.id: target for target, fault in faults if not fault},
        )
        for gone_id in earlier.keys() - accepted.keys():
            self._remove_own(node, gone_id)
        for target in accepted.values():
            self.own_targets.put(target.id, target)
        self.known_targets.replace_targets(node, accepted)
        return [fault for _, fault in faults if fault]

    def renew(self, node: str) -> None:
        """Renew the lease of a node, as after each frame from it."""
        self._leases.renew(node)

    def merge(self, peer: str, update: TargetUpdate) -> None:
        """Apply the target update of a control instance in the region."""
        merged = {} if update.full else self.known_targets.targets_of(peer)
        for target_id in update.removals:
            merged.pop(target_id, None)
        merged.update({target.id: target for target in update.upserts})
        self.mark_peer_connected(peer)
        self.known_targets.replace_targets(peer, merged)

    def mark_peer_connected(self, peer: str) -> None:
        """Retain the targets of a control instance until it disconnects."""
        self._leases.hold_indefinitely(peer)

    def merge_sample(
        self,
        region: str,
        service: str,
        targets: list[Target],
    ) -> None:
        """Replace the sample of a service's targets in another region."""
        sample = {target.id: target for target in targets}
        self.known_targets.replace_targets(f'region {region} {service}', sample)

    def mark_peer_disconnected(self, peer: str) -> None:
        """Expire a control instance's targets unless it reconnects in time."""
        lease_s = self._settings.intervals.lease_s
        self._leases.renew(peer, ORPHAN_LEASES * lease_s)

    def expire(self) -> None:
        """Remove targets whose lease has ended; update `settled`."""
        for holder in self._leases.pop_expired():
            for target_id in self.known_targets.targets_of(holder):
                self._remove_own(holder, target_id)
            self.known_targets.replace_targets(holder, {})
        if not self.settled and self._leases.has_settled:
            self.settled = True
            self.known_targets.notify(self.known_targets.services)

    def revision(self, service: str) -> str:
        """Return the revision of a service's targets that nodes are sent.

        It is marked as partial until the registry is settled.
        """
        revision = self.known_targets.list_of(service).revision
        return revision if self.settled else f'{PARTIAL_PREFIX}{revision}'

    def needs_update(self, service: str, node_revision: str) -> bool:
        """Return whether a node with `node_revision` needs an update."""
        if node_revision == self.revision(service):
            return False
        return self.settled or bool(
            self.update_from(service, node_revision).upserts
        )

    def update_from(self, service: str, node_revision: str) -> TargetUpdate:
        """Return the update from `node_revision` to the newest revision."""
        targets = self.known_targets.list_of(service)
        if self.settled:
            return targets.update_from(node_revision)
        update = targets.update_from(node_revision.removeprefix(PARTIAL_PREFIX))
        update.full = False
        update.removals = []
        update.revision = self.revision(service)
        if node_revision and not node_revision.startswith(PARTIAL_PREFIX):
            # The node has a complete list; only draining targets are urgent.
            update.upserts = list(filter(_is_draining, update.upserts))
        return update

    def _fault(self, node: str, target: Target) -> str:
        if target.node != node:
            return f'{target.id}: announced by {node} for {target.node}'
        earlier = self.known_targets.targets_of(node).get(target.id, target)
        if target.incarnation < earlier.incarnation:
            return (
                f'{target.id}: incarnation {target.incarnation} is older '
                f'than {earlier.incarnation}'
            )
        other = self.known_targets.claimed_by_other(target)
        if other is None or _replaces(target, other):
            return ''
        return f'{target.id}: claimed by {other.node} at {other.address}'

    def _remove_own(self, holder: str, target_id: str) -> None:
        target = self.own_targets.targets_by_id.get(target_id)
        if target is not None and target.node == holder:
            self.own_targets.put(target_id, None)


def _replaces(target: Target, other: Target) -> bool:
    return (
        target.address == other.address
        and target.incarnation > other.incarnation
    )


def _is_draining(target: Target) -> bool:
    return target.state == TargetState.DRAINING

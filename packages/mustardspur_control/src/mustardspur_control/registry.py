"""Registry of the targets that a control instance knows."""

import time
from collections.abc import Callable
from typing import Final

from mustardspur_core.messages import TargetUpdate
from mustardspur_core.settings import Settings
from mustardspur_core.state import Target, TargetState
from mustardspur_core.target_list import PARTIAL_PREFIX, TargetList

from mustardspur_control.known_targets import KnownTargets
from mustardspur_control.leases import Leases

# Leases after which the targets of a lost control instance are dropped: its
# nodes first have to notice the loss, reconnect and announce again.
ORPHAN_LEASES: Final = 3


class Registry:
    """Targets of the own region in full, and samples of other regions.

    Explanation
    ===========

    After its start the registry is not settled: it has not yet heard from
    nodes that are reconnecting, so it removes nothing from what nodes hold
    until every node had the time to announce its targets again.

    Parameters
    ----------
    settings : Settings
        Settings of the control instance.
    clock : callable
        Monotonic clock in seconds.
    """

    __slots__ = ('_leases', '_settings', 'known', 'own', 'settled')

    def __init__(
        self,
        settings: Settings,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start empty and not settled."""
        self._settings = settings
        self._leases = Leases(settings, clock)
        self.known = KnownTargets()
        self.own = TargetList('')
        self.settled = False

    def targets(self, service: str) -> list[Target]:
        """Return the targets of a service in order of their identifiers."""
        by_id = self.known.list_of(service).targets_by_id
        return [by_id[target_id] for target_id in sorted(by_id)]

    def announce(self, node: str, targets: list[Target]) -> list[str]:
        """Take the complete targets of a node of this control instance.

        Returns
        -------
        list of str
            Why some targets were refused, empty if none was.
        """
        faults = [(target, self._fault(node, target)) for target in targets]
        self._leases.renew(node)
        held = self.known.held_by(node)
        # An older start of a target does not end the newer one.
        named = {target.id for target in targets}
        taken = {name: held[name] for name in held.keys() & named}
        taken.update(
            {target.id: target for target, fault in faults if not fault},
        )
        for gone_id in held.keys() - taken.keys():
            self._drop_own(node, gone_id)
        for target in taken.values():
            self.own.put(target.id, target)
        self.known.hold(node, taken)
        return [fault for _, fault in faults if fault]

    def renew(self, node: str) -> None:
        """Renew the lease of a node after any frame from it."""
        self._leases.renew(node)

    def merge(self, peer: str, update: TargetUpdate) -> None:
        """Take what another control instance of the region announces."""
        held = {} if update.full else self.known.held_by(peer)
        for target_id in update.removals:
            held.pop(target_id, None)
        held.update({target.id: target for target in update.upserts})
        self.keep_peer(peer)
        self.known.hold(peer, held)

    def keep_peer(self, peer: str) -> None:
        """Keep the targets of a connected control instance."""
        self._leases.keep(peer)

    def merge_sample(
        self,
        region: str,
        service: str,
        targets: list[Target],
    ) -> None:
        """Take a few targets of a service of another region."""
        sample = {target.id: target for target in targets}
        self.known.hold(f'region {region} {service}', sample)

    def lose_peer(self, peer: str) -> None:
        """Drop a control instance's targets unless it is back in time."""
        lease_s = self._settings.intervals.lease_s
        self._leases.renew(peer, ORPHAN_LEASES * lease_s)

    def expire(self) -> None:
        """Drop what is not renewed; settle once the time for it has come."""
        for holder in self._leases.pop_expired():
            for target_id in self.known.held_by(holder):
                self._drop_own(holder, target_id)
            self.known.hold(holder, {})
        if not self.settled and self._leases.has_settled:
            self.settled = True
            self.known.notify(self.known.services)

    def revision(self, service: str) -> str:
        """Return the revision of a service's targets for nodes."""
        revision = self.known.list_of(service).revision
        return revision if self.settled else f'{PARTIAL_PREFIX}{revision}'

    def has_news(self, service: str, held: str) -> bool:
        """Return whether a node with a held revision needs an update."""
        if held == self.revision(service):
            return False
        return self.settled or bool(self.update_from(service, held).upserts)

    def update_from(self, service: str, held: str) -> TargetUpdate:
        """Return the update that leads from a held revision to the newest."""
        targets = self.known.list_of(service)
        if self.settled:
            return targets.update_from(held)
        update = targets.update_from(held.removeprefix(PARTIAL_PREFIX))
        update.full = False
        update.removals = []
        update.revision = self.revision(service)
        if held and not held.startswith(PARTIAL_PREFIX):
            # The node has a complete list; only what must not wait is sent.
            update.upserts = list(filter(_is_draining, update.upserts))
        return update

    def _fault(self, node: str, target: Target) -> str:
        if target.node != node:
            return f'{target.id}: announced by {node} for {target.node}'
        held = self.known.held_by(node).get(target.id, target)
        if target.incarnation < held.incarnation:
            return (
                f'{target.id}: incarnation {target.incarnation} is older '
                f'than {held.incarnation}'
            )
        other = self.known.claimed_by_other(target)
        if other is None or _replaces(target, other):
            return ''
        return f'{target.id}: claimed by {other.node} at {other.address}'

    def _drop_own(self, holder: str, target_id: str) -> None:
        target = self.own.targets_by_id.get(target_id)
        if target is not None and target.node == holder:
            self.own.put(target_id, None)


def _replaces(target: Target, other: Target) -> bool:
    return (
        target.address == other.address
        and target.incarnation > other.incarnation
    )


def _is_draining(target: Target) -> bool:
    return target.state == TargetState.DRAINING

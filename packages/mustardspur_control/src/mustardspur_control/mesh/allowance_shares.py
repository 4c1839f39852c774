"""Shares of the control instances in the limits."""

from collections.abc import Callable, Collection, Iterable
from typing import Final

from mustardspur_core.mesh.control_messages import AllowanceDemand
from mustardspur_core.wire import MalformedFrame

# Limits for which another instance may state its demand.
MAX_LIMITS: Final = 65_536
# Part of a limit that is divided equally; the rest follows the demand.
FIXED_PART: Final = 0.2
# Part of the rate that counts as demand before any call.
ASSUMED_PART: Final = 0.05
# Part of the missing share by which a share rises at each update.
RISE_PART: Final = 0.5


class PeerDemand:
    """Demand of another control instance and the nodes attached to it.

    Explanation
    ===========

    A silent instance may still grant tokens to its nodes, and keeps the share
    of those that have not attached elsewhere.

    Attributes
    ----------
    weight : float
        Part of the nodes that count, 1 while the instance is not silent.
    """

    __slots__ = ('_nodes', '_per_s', 'weight')

    def __init__(self) -> None:
        """Initialise without demand and nodes."""
        self._per_s: dict[str, float] = {}
        self._nodes: frozenset[str] = frozenset()
        self.weight: float = 1

    def apply(self, update: AllowanceDemand) -> None:
        """Store what the instance sent.

        Raises
        ------
        MalformedFrame
            If it has stated the demand for too many limits.
        """
        if update.full:
            self._per_s.clear()
        limits = {demand.limit for demand in update.demands}
        if len(limits | self._per_s.keys()) > MAX_LIMITS:
            raise MalformedFrame('length', f'more than {MAX_LIMITS} limits')
        for demand in update.demands:
            self._per_s[demand.limit] = demand.per_s

    def set_live(self, nodes: Iterable[str]) -> None:
        """Store the nodes of an instance that is not silent."""
        self._nodes = frozenset(nodes)
        self.weight = 1

    def set_silent(self, attached_elsewhere: Collection[str]) -> None:
        """Keep the share of the nodes that are not attached elsewhere."""
        if self._nodes:
            left = self._nodes.difference(attached_elsewhere)
            self.weight = len(left) / len(self._nodes)

    def per_s(self, limit: str) -> float:
        """Return the demand that counts for a limit."""
        return self._per_s.get(limit, 0) * self.weight


class DemandOfPeers:
    """Demand of all other control instances, by their identifiers."""

    __slots__ = ('_by_peer', '_instances')

    def __init__(self) -> None:
        """Initialise without other instances."""
        self._by_peer: dict[str, PeerDemand] = {}
        self._instances = 1

    @property
    def equal_share(self) -> float:
        """Share of each instance if all have the same."""
        return 1 / self._instances

    def apply(self, peer: str, update: AllowanceDemand) -> None:
        """Store what another instance sent."""
        self._by_peer.setdefault(peer, PeerDemand()).apply(update)

    def update(
        self,
        known: Collection[str],
        is_live: Callable[[str], bool],
        nodes_of: Callable[[str], Collection[str]],
        own_nodes: Collection[str],
    ) -> None:
        """Update which instances are known, and which of them are silent.

        Parameters
        ----------
        known : collection of str
            Identifiers of the other instances.
        is_live : callable
            Whether an instance was seen recently.
        nodes_of : callable
            Addresses of the nodes that an instance reports.
        own_nodes : collection of str
            Addresses of the nodes that are attached to this instance.
        """
        self._instances = len(known) + 1
        for removed in self._by_peer.keys() - set(known):
            self._by_peer.pop(removed)
        attached = set(own_nodes)
        silent: list[PeerDemand] = []
        for peer, demand in self._by_peer.items():
            if is_live(peer):
                demand.set_live(nodes_of(peer))
                attached.update(nodes_of(peer))
            else:
                silent.append(demand)
        for each in silent:
            each.set_silent(attached)

    def by_peer(self, limit: str) -> dict[str, float]:
        """Return the demand for a limit by instance."""
        return {
            peer: demand.per_s(limit) for peer, demand in self._by_peer.items()
        }

    def share(self, limit: str, own_per_s: float, rate_per_s: float) -> float:
        """Return the share of this instance in a limit.

        A small part of the rate counts as demand at all instances alike.
        Without it, the first few calls after a quiet time would move the
        shares to the instances where they happen to arrive.

        An instance that has never been heard counts as one with an equal
        share, since it may hold one: an instance that restarts cut off from
        the others must not take their shares.
        """
        heard = (len(self._by_peer) + 1) / self._instances
        others_per_s = sum(
            demand.per_s(limit) for demand in self._by_peer.values()
        )
        assumed_per_s = ASSUMED_PART * rate_per_s / self._instances
        total_per_s = own_per_s + others_per_s
        total_per_s += assumed_per_s * (len(self._by_peer) + 1)
        part = (own_per_s + assumed_per_s) / total_per_s
        return FIXED_PART / self._instances + (1 - FIXED_PART) * heard * part


def next_share(current: float, wanted: float) -> float:
    """Return the share after an update: it falls at once and rises slowly.

    The other instances learn of a higher demand later, and release their
    shares only then.
    """
    if wanted <= current:
        return wanted
    return current + (wanted - current) * RISE_PART

"""Adapters through which the operators' interface reads an instance."""

import time
from typing import Any

from mustardspur_agreement.ports import CommittedLog
from mustardspur_core.settings import Settings
from mustardspur_core.state import Target

from mustardspur_control.applied import NodeApplied
from mustardspur_control.hub import Hub
from mustardspur_control.operators_api.ports import (
    MoveReports,
    NodeInForce,
    OperatorsContext,
    VoterMembership,
)
from mustardspur_control.store import Store


class HubNodes:
    """Configurations in force on the nodes, from the reports of the hub."""

    __slots__ = ('_hub',)

    def __init__(self, hub: Hub) -> None:
        """Initialise with the hub that is read."""
        self._hub = hub

    def in_force(self, service: str) -> list[NodeInForce]:
        """Return one entry for each node that needs a service."""
        # The data centres of nodes that are connected to other control
        # instances are only known from their targets.
        data_centres_by_node = {
            target.node: target.data_centre
            for target in self._hub.registry.targets(service)
        }
        return [
            self._entry(row, data_centres_by_node.get(row.node, ''))
            for row in self._hub.applied.rows(service)
        ]

    def _entry(self, row: NodeApplied, default_data_centre: str) -> NodeInForce:
        session = self._hub.sessions.by_node.get(row.node)
        return NodeInForce(
            node=row.node,
            data_centre=session.hello.data_centre
            if session
            else default_data_centre,
            index=row.report.index,
            pending_index=row.report.pending_index,
            reason=row.report.reason,
        )


class RegistryTargets:
    """Targets from the hub's registry."""

    __slots__ = ('_hub',)

    def __init__(self, hub: Hub) -> None:
        """Initialise with the hub that is read."""
        self._hub = hub

    def targets(self) -> list[Target]:
        """Return the targets of all services."""
        registry = self._hub.registry
        return [
            target
            for service in sorted(registry.known_targets.services)
            for target in registry.targets(service)
        ]


class HubStatus:
    """Status of the hub."""

    __slots__ = ('_hub', '_settings')

    def __init__(self, settings: Settings, hub: Hub) -> None:
        """Initialise with the hub that is read."""
        self._settings = settings
        self._hub = hub

    def status(self) -> dict[str, Any]:
        """Return JSON values: identifier, connected nodes, counters."""
        return {
            'id': self._settings.id,
            'data_centre': self._settings.data_centre,
            'region': self._settings.region,
            'connected_nodes': sorted(self._hub.sessions.by_node),
            'registry_settled': self._hub.registry.settled,
            'cut_offs': sorted(self._hub.cut_offs.by_move),
        }


def operators_context(
    settings: Settings,
    hub: Hub,
    store: Store,
    log: CommittedLog,
    moves: MoveReports,
    membership: VoterMembership,
) -> OperatorsContext:
    """Return the dependencies of the operators' interface."""
    return OperatorsContext(
        log=log,
        membership=membership,
        store=store,
        nodes=HubNodes(hub),
        targets=RegistryTargets(hub),
        moves=moves,
        status=HubStatus(settings, hub),
        http_addresses={peer.id: peer.http for peer in settings.peers},
        clock=time.time,
    )

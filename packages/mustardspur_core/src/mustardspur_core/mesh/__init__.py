"""Types that the nodes and control instances of a mesh share."""

from mustardspur_core.mesh.model import (
    CallerLimits,
    MeshRoute,
    MeshTarget,
    MeshTargetState,
    RouteShare,
    RoutingTable,
    ServiceRule,
    Transfer,
    TransferState,
)

__all__ = [
    'CallerLimits',
    'MeshRoute',
    'MeshTarget',
    'MeshTargetState',
    'RouteShare',
    'RoutingTable',
    'ServiceRule',
    'Transfer',
    'TransferState',
]

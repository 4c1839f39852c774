"""Types that the nodes and control instances of a mesh share."""

from mustardspur_core.mesh.model import (
    CallerLimits,
    MeshRoute,
    MeshTarget,
    RouteShare,
    RoutingTable,
    ServiceRule,
    TargetState,
    Transfer,
    TransferState,
)

__all__ = [
    'CallerLimits',
    'MeshRoute',
    'MeshTarget',
    'RouteShare',
    'RoutingTable',
    'ServiceRule',
    'TargetState',
    'Transfer',
    'TransferState',
]

"""Types that the nodes and control instances of a mesh share."""

from mustardspur_core.mesh.model import (
    CallerLimits,
    ClientAccount,
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
    'ClientAccount',
    'MeshRoute',
    'MeshTarget',
    'MeshTargetState',
    'RouteShare',
    'RoutingTable',
    'ServiceRule',
    'Transfer',
    'TransferState',
]

"""Types shared by the two sides of a mesh that routes by host and path."""

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

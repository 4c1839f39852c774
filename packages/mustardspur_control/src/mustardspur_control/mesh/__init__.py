"""Control instances of a mesh that routes calls by host and path."""

from mustardspur_control.mesh.instance import running_mesh_control
from mustardspur_control.mesh.operations import (
    MeshOperations,
    OperationError,
    PublishedTable,
    PublishOutcome,
)

__all__ = [
    'MeshOperations',
    'OperationError',
    'PublishOutcome',
    'PublishedTable',
    'running_mesh_control',
]

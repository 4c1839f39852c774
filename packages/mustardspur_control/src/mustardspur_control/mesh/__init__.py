"""Control instances of a mesh that routes calls by host and path."""

from mustardspur_control.mesh.evacuations import (
    EvacuationOperations,
    EvacuationOutcome,
)
from mustardspur_control.mesh.instance import MeshControl, running_mesh_control
from mustardspur_control.mesh.log_access import OperationError
from mustardspur_control.mesh.operations import (
    MeshOperations,
    PublishedTable,
    PublishOutcome,
)

__all__ = [
    'EvacuationOperations',
    'EvacuationOutcome',
    'MeshControl',
    'MeshOperations',
    'OperationError',
    'PublishOutcome',
    'PublishedTable',
    'running_mesh_control',
]

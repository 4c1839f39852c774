"""Nodes of a mesh that routes by host and path."""

from mustardspur_node.mesh.instance import MeshNode, running_mesh_node
from mustardspur_node.mesh.names import OWN_NAMES, HeaderNames
from mustardspur_node.mesh.reports import TargetReport

__all__ = [
    'OWN_NAMES',
    'HeaderNames',
    'MeshNode',
    'TargetReport',
    'running_mesh_node',
]

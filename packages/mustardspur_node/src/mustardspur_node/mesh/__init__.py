"""Node of a mesh that routes calls by host and path."""

from mustardspur_node.mesh.instance import MeshNode, running_mesh_node
from mustardspur_node.mesh.names import HEADER_NAMES, HeaderNames
from mustardspur_node.mesh.reports import TargetReport, find_report_fault

__all__ = [
    'HEADER_NAMES',
    'HeaderNames',
    'MeshNode',
    'TargetReport',
    'find_report_fault',
    'running_mesh_node',
]

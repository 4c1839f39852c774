"""HTTP interface of a control instance for operators."""

from mustardspur_control.operators_api.app import build_operators_app
from mustardspur_control.operators_api.ports import (
    MoveReports,
    NodeInForce,
    NodesInForce,
    OperatorsContext,
    StatusSource,
    TargetsSource,
)

__all__ = [
    'MoveReports',
    'NodeInForce',
    'NodesInForce',
    'OperatorsContext',
    'StatusSource',
    'TargetsSource',
    'build_operators_app',
]

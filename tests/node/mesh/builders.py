"""Builders of targets and calls for the tests of mesh nodes."""

import asyncio
from typing import Any

from mustardspur_core.mesh.call_messages import CallOpen
from mustardspur_core.settings import Settings, parse_settings
from mustardspur_node.mesh.calls import MeshCall
from mustardspur_node.mesh.local_target import LocalTarget
from mustardspur_node.mesh.names import HEADER_NAMES
from mustardspur_node.mesh.reports import ReportStore, TargetReport
from mustardspur_node.mesh.waiting_calls import WaitingRequest

from tests.core.mesh.builders import route


def node_settings() -> Settings:
    """Return the settings of a node in ``split-a``."""
    document = {
        'role': 'node',
        'id': 'n1',
        'data_centre': 'split-a',
        'region': 'dalmacija',
        'service': 'forms',
        'listen': {
            'http': '127.0.0.1:1',
            'stream': '127.0.0.1:2',
            'ready': '127.0.0.1:3',
            'targets': '127.0.0.1:4',
        },
        'mesh': {},
    }
    return parse_settings(document, 'settings').ok


def target_report(**changes: Any) -> TargetReport:
    """Return a report of a ready target with some fields changed."""
    fields: dict[str, Any] = {
        'id': 't1',
        'service': 'forms',
        'version': 'v1',
        'address': '10.0.0.5:9000',
        'slots': 9,
        'state': 'ready',
        'cold_ms': 0,
        'sequence': 4,
        'born': 1000,
        'data_centre': '',
    }
    return TargetReport(**(fields | changes))


def local_target(address: str) -> LocalTarget:
    """Return a confirmed local target that is ready at an address."""
    local = LocalTarget(ReportStore(address), HEADER_NAMES)
    local.reports.accept(target_report(address=address, slots=2))
    local.confirm()
    return local


def mesh_call(**changes: Any) -> MeshCall:
    """Return a call of a caller with some fields changed."""
    now_s = asyncio.get_running_loop().time()
    fields: dict[str, Any] = {
        'request_id': 'r1',
        'route': route('drafts'),
        'account': None,
        'method': 'GET',
        'path': '/drafts/1',
        'headers': [],
        'body': b'',
        'started_s': now_s,
        'deadline_s': now_s + 1,
        'useful_s': now_s + 0.3,
        'rank': 1,
    }
    return MeshCall(**(fields | changes))


def call_open(request_id: str = 'r1', **changes: Any) -> CallOpen:
    """Return the opening message of a call with some fields changed."""
    fields: dict[str, Any] = {
        'target': 't1',
        'service': 'forms',
        'route': 'drafts',
        'priority': 0,
        'method': 'GET',
        'path': '/drafts/1',
        'headers': [['host', 'forms.example'], ['x-request-id', request_id]],
        'deadline_ms': 2000.0,
        'max_wait_ms': 500.0,
        'confirm': False,
        'body': b'',
        'more': False,
        'account': '',
        'body_bytes': 0,
        'repeat': False,
    }
    return CallOpen(**(fields | changes))


def waiting_request(rank: int, account: str = '') -> WaitingRequest:
    """Return what decides the place of a waiting call of 50 ms."""
    return WaitingRequest(rank=rank, account=account, cost_ms=50.0)

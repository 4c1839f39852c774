"""Tests of the validation of profile documents."""

from collections.abc import Callable
from typing import Any

import pytest
from mustardspur_core.profile import parse_profile

Document = dict[str, Any]
NOW_S = 1_800_000_000.0


def good_document() -> Document:
    """Return a profile document without findings."""
    return {
        'name': 'lens-bench-standard',
        'target_sets': {'stable': {'version': '1.4.0'}},
        'call_classes': {
            'quick': {
                'priority': 0,
                'max_in_flight_per_target': 4,
                'queue_limit': 50,
            },
        },
        'retries': {
            'fetch': {
                'attempts': 3,
                'budget_ratio': 0.1,
                'hedge_after_ms': 50,
            },
        },
        'routes': [
            {
                'name': 'stock',
                'path_prefix': '/stock',
                'methods': ['GET'],
                'headers': {},
                'weights': {'stable': 100},
                'call_class': 'quick',
                'retry': 'fetch',
                'idempotent': True,
                'timeout_ms': 500,
            },
        ],
        'move': {
            'within_s': 600,
            'first_share': 0.02,
            'unjudged': 'take_back',
            'weighing': 'convergence_time',
        },
    }


def _route(**changes: Any) -> Callable[[Document], None]:
    def factory(document: Document) -> None:
        document['routes'][0].update(changes)

    return factory


def _move(**changes: Any) -> Callable[[Document], None]:
    def factory(document: Document) -> None:
        document['move'].pop('within_s')
        document['move'].update(changes)

    return factory


def test_good_document_is_parsed() -> None:
    """Guards against findings on a valid profile."""
    profile = parse_profile(good_document(), 'p.json', NOW_S).ok
    assert profile.routes[0].weights == {'stable': 100}
    assert profile.move.by is None


@pytest.mark.parametrize(
    ('damage', 'path'),
    [
        (_route(weights={'other': 1}), '$.routes[0].weights.other'),
        (_route(weights={'stable': 0}), '$.routes[0].weights'),
        (_route(weights={}), '$.routes[0].weights'),
        (_route(weights={'stable': -1}), '$.routes[0].weights.stable'),
        (_route(call_class='none'), '$.routes[0].call_class'),
        (_route(retry='none'), '$.routes[0].retry'),
        (_route(idempotent=False), '$.routes[0].retry'),
        (_route(timeout_ms=50), '$.routes[0].retry'),
        (_route(timeout_ms='50'), '$.routes[0].timeout_ms'),
        (_move(by='2020-01-01T00:00:00Z'), '$.move.by'),
        (_move(by='2030-01-01T00:00:00'), '$.move.by'),
        (_move(by='soon'), '$.move.by'),
        (_move(), '$.move'),
    ],
)
def test_findings_name_their_place(
    damage: Callable[[Document], None],
    path: str,
) -> None:
    """Guards against a missing finding or one with a wrong path."""
    document = good_document()
    damage(document)
    findings = parse_profile(document, 'p.json', NOW_S).error
    assert path in [entry.path for entry in findings.entries]


def test_all_findings_come_together() -> None:
    """Guards against only the first of several findings being reported."""
    document = good_document()
    _route(weights={'other': 1}, call_class='none', retry='x')(document)
    findings = parse_profile(document, 'p.json', NOW_S).error
    assert len(findings.entries) == 3


def test_hidden_route_is_found() -> None:
    """Guards against a route that an earlier route makes unreachable."""
    document = good_document()
    second = {**document['routes'][0], 'name': 'b', 'path_prefix': '/stock/1'}
    document['routes'].append(second)
    findings = parse_profile(document, 'p.json', NOW_S).error
    assert [entry.path for entry in findings.entries] == ['$.routes[1]']

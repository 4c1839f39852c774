"""Tests of the validation of a routing table."""

import pytest
from mustardspur_core.mesh import MeshRoute, RouteShare
from mustardspur_core.mesh.checks import check_table

from tests.core.mesh.builders import route, table


def _share(service: str, weight: float) -> list[RouteShare]:
    return [RouteShare(service=service, weight=weight)]


@pytest.mark.parametrize(
    ('bad', 'path'),
    [
        (route('r', shares=_share('nobody', 1.0)), 'routes.r.service'),
        (route('r', shares=_share('forms', -1.0)), 'routes.r.weight'),
        (route('r', shares=_share('forms', 0)), 'routes.r'),
        (route('r', shares=[]), 'routes.r'),
        (route('r', timeout_ms=600_001.0), 'routes.r.timeout'),
        (
            route('r', timeout_ms=1000.0, objective_ms=61_000.0),
            'routes.r.objective',
        ),
        (route('r', max_attempts=0), 'routes.r.attempts'),
        (route('r', path_prefix='/r'), 'routes.r.path_prefix'),
    ],
)
def test_bad_route_is_found(bad: MeshRoute, path: str) -> None:
    """Each error of a route is reported with its path."""
    findings = check_table(table(1, route('good'), bad))
    assert [finding.path for finding in findings] == [path]


def test_good_table_has_no_findings() -> None:
    """A table exactly at the limits is valid."""
    assert not check_table(
        table(1, route('r', timeout_ms=600_000.0, objective_ms=60_999.0)),
    )

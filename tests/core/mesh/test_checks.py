"""Tests of the validation of a routing table."""

from typing import Any

import pytest
from mustardspur_core.mesh import MeshRoute, RouteShare
from mustardspur_core.mesh.checks import check_table
from mustardspur_core.record import replaced

from tests.core.mesh.builders import account, route, table


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


@pytest.mark.parametrize(
    ('bad', 'path'),
    [
        ({'rate_per_s': -1.0}, 'accounts.a.rate'),
        ({'rate_per_s': float('nan')}, 'accounts.a.rate'),
        ({'burst': float('inf')}, 'accounts.a.burst'),
        ({'priority': -1}, 'accounts.a.priority'),
        ({'priority': 301}, 'accounts.a.priority'),
    ],
)
def test_bad_account_is_found(bad: dict[str, Any], path: str) -> None:
    """Guards against limits and priorities that nodes cannot apply."""
    checked = replaced(table(1), accounts={'a': account('a', **bad)})
    assert [finding.path for finding in check_table(checked)] == [path]


@pytest.mark.parametrize('name', ['', ' ', 'a\r\nhost: b'])
def test_name_that_is_no_header_is_found(name: str) -> None:
    """Guards against names that change the headers of a call."""
    checked = replaced(table(1), accounts={name: account(name)})
    assert len(check_table(checked)) == 1


def test_key_of_two_accounts_is_found_with_both_places() -> None:
    """Guards against calls that count for another account, and against keys
    in findings.
    """
    accounts = {
        'a': account('a', 'k-1', 'k-2', 'k-2'),
        'b': account('b', 'k-3', 'k-2'),
    }
    findings = check_table(replaced(table(1), accounts=accounts))
    text = '; '.join(map(str, findings))
    assert text.endswith(
        'accounts.b.keys.1: expected a key of one account, '
        'found accounts.a.keys.1'
    )
    assert len(findings) == 1
    assert 'k-2' not in text

"""Tests of the warnings on tables and of the differences between them."""

from typing import Any

import pytest
from mustardspur_core.mesh import ClientAccount, RouteShare
from mustardspur_core.mesh.checks import check_table
from mustardspur_core.mesh.table_differences import table_differences
from mustardspur_core.mesh.table_warnings import table_warnings
from mustardspur_core.record import replaced

from tests.core.mesh.builders import route, table

SHARES = tuple(
    RouteShare(service=name, weight=50.0) for name in ('forms', 'stamps')
)


def account(**changes: Any) -> ClientAccount:
    """Return an account with some fields changed."""
    fields: dict[str, Any] = {
        'name': 'clinic',
        'key_digests': ['ab'],
        'priority': None,
        'rate_per_s': 10.0,
        'burst': 10.0,
        'home_regions': [],
    }
    return ClientAccount(**(fields | changes))


def test_sound_table_has_no_warnings() -> None:
    """Guards against warnings that operators learn to ignore."""
    sound = replaced(
        table(1, route('drafts', shares=list(SHARES))),
        accounts={'clinic': account()},
    )
    assert not table_warnings(sound)


@pytest.mark.parametrize(
    ('changes', 'place'),
    [
        ({'host': 'FORMS.example', 'path_prefix': '/a/'}, 'routes.drafts'),
        ({'host': 'forms.example:80'}, 'routes.other.host'),
        ({'objective_ms': 1001.0}, 'routes.other.objective'),
        (
            {'shares': [RouteShare(service='forms', weight=0)]},
            'routes.other.shares.forms',
        ),
    ],
)
def test_routes_without_effect(changes: dict[str, Any], place: str) -> None:
    """Guards against a route that is accepted and that no call uses."""
    drafts = route('drafts', path_prefix='/a/', shares=list(SHARES))
    found = table_warnings(table(1, drafts, route('other', **changes)))
    assert [finding.path for finding in found] == [place]


@pytest.mark.parametrize(
    ('changes', 'place'),
    [
        ({'key_digests': []}, 'accounts.clinic'),
        ({'rate_per_s': 0}, 'accounts.clinic.burst'),
        ({'burst': 0.5}, 'accounts.clinic.burst'),
        ({'home_regions': ['b']}, 'accounts.clinic.home_regions'),
    ],
)
def test_accounts_without_effect(changes: dict[str, Any], place: str) -> None:
    """Guards against limits and homes that exclude each other."""
    homed = table(1, route('drafts', home_regions=['a'], shares=list(SHARES)))
    with_account = replaced(homed, accounts={'clinic': account(**changes)})
    assert not check_table(with_account)
    found = table_warnings(with_account)
    assert [finding.path for finding in found] == [place]


def test_unused_service() -> None:
    """Guards against a service that is configured and never called."""
    found = table_warnings(table(1, route('drafts')))
    assert [finding.path for finding in found] == ['services.stamps']


def test_differences_state_their_effect() -> None:
    """Guards against a change that the list of differences leaves out."""
    old = replaced(
        table(1, route('drafts'), route('gone')),
        accounts={'clinic': account(), 'left': account(name='left')},
    )
    new = replaced(
        table(2, route('drafts', priority=0), route('added')),
        accounts={'clinic': account(key_digests=['cd'], rate_per_s=5.0)},
    )
    assert table_differences(old, old) == []
    assert table_differences(old, new) == [
        'route added is added: forms.example/added/ goes to forms 100',
        'route gone is removed: forms.example/gone/ gets 404',
        'route drafts: priority 1 becomes 0',
        'account left is removed: its keys are refused',
        'account clinic: 1 keys are refused',
        'account clinic: 1 keys are added',
        'account clinic: rate_per_s 10 becomes 5',
    ]


def test_table_whose_routes_open_for_no_key() -> None:
    """Guards against an operator who closes all routes unnoticed, or is told
    that calls need no key any more while they are refused.
    """
    plain = table(1, route('drafts', shares=list(SHARES)))
    opened = replaced(plain, accounts={'clinic': account()})
    closed = replaced(plain, closed_without_accounts=True)
    assert [finding.path for finding in table_warnings(closed)] == ['accounts']
    assert table_differences(opened, closed) == [
        'account clinic is removed: its keys are refused',
    ]
    assert table_differences(plain, closed) == [
        'calls on routes that are not public need a key',
    ]

"""Tests of the accounts of callers."""

import logging
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from multidict import CIMultiDict
from mustardspur_core.mesh import ClientAccount
from mustardspur_core.mesh.accounts import key_digest
from mustardspur_core.record import replaced
from mustardspur_node.mesh.caller_accounts import CallerAccounts, account_rank
from mustardspur_node.mesh.calls import UnansweredCall
from mustardspur_node.mesh.decisions import DecisionLog
from mustardspur_node.mesh.names import HEADER_NAMES
from mustardspur_node.mesh.view import RouteIndex

from tests.core.mesh.builders import account, route, table
from tests.support.virtual_time import in_virtual_time

_KEY = 'k-5f0c77aa'
_CLOSED = route('drafts')
_PUBLIC = route('lookups', public=True)


def _routes(*accounts: ClientAccount) -> RouteIndex:
    return RouteIndex(
        replaced(
            table(1, _CLOSED, _PUBLIC),
            accounts={each.name: each for each in accounts},
        ),
    )


def _accounts() -> CallerAccounts:
    return CallerAccounts(HEADER_NAMES, DecisionLog())


def _headers(*keys: str) -> CIMultiDict[str]:
    return CIMultiDict([('authorization', key) for key in keys])


@pytest.mark.parametrize('scheme', ['Bearer ', 'bearer  ', 'BEARER '])
@pytest.mark.parametrize('used', [_CLOSED, _PUBLIC])
@in_virtual_time
async def test_known_key_identifies(scheme: str, used: Any) -> None:
    """Guards against a known key that is refused or ignored."""
    routes = _routes(account('cafe', _KEY), account('bar', 'other'))
    found = _accounts().identify(routes, used, _headers(scheme + _KEY))
    assert found is not None
    assert found.name == 'cafe'


@pytest.mark.parametrize(
    'stated',
    [
        [],
        ['Bearer'],
        ['Bearer '],
        [_KEY],
        [f'Basic {_KEY}'],
        [f'Bearer {_KEY}x'],
        [f'Bearer {_KEY}', f'Bearer {_KEY}'],
    ],
)
@in_virtual_time
async def test_other_keys_are_refused(stated: list[str]) -> None:
    """Guards against calls without a known key on routes that need one."""
    routes = _routes(account('cafe', _KEY))
    with pytest.raises(UnansweredCall) as refusal:
        _accounts().identify(routes, _CLOSED, _headers(*stated))
    assert refusal.value.status.value == 401
    assert _accounts().identify(routes, _PUBLIC, _headers(*stated)) is None


@in_virtual_time
async def test_withdrawn_key_ends_with_the_next_table() -> None:
    """Guards against keys that outlive their table, and against routes that
    open when the last key is withdrawn.
    """
    accounts = _accounts()
    headers = _headers(f'Bearer {_KEY}')
    assert accounts.identify(_routes(account('cafe', _KEY)), _CLOSED, headers)
    with pytest.raises(UnansweredCall):
        accounts.identify(_routes(account('cafe')), _CLOSED, headers)


@in_virtual_time
async def test_removal_of_the_last_account_opens_no_route() -> None:
    """Guards against withdrawn and unknown keys that open the routes, and are
    passed on, once a table that requires keys has no account left.
    """
    accounts = _accounts()
    accounts.identify(
        _routes(account('cafe', _KEY)), _CLOSED, _headers(f'Bearer {_KEY}')
    )
    emptied = RouteIndex(
        replaced(table(2, _CLOSED, _PUBLIC), closed_without_accounts=True)
    )
    for key in (_KEY, 'never-known'):
        headers = _headers(f'Bearer {key}')
        with pytest.raises(UnansweredCall):
            accounts.identify(emptied, _CLOSED, headers)
        assert accounts.identify(emptied, _PUBLIC, headers) is None
    sent = [['Authorization', f'Bearer {_KEY}'], [HEADER_NAMES.account, 'y']]
    assert not accounts.replace_headers(None, sent)


def test_table_without_accounts_changes_nothing() -> None:
    """Guards against changes for deployments without accounts."""
    accounts = _accounts()
    sent = [['Authorization', 'Basic x'], [HEADER_NAMES.account, 'y']]
    assert accounts.identify(_routes(), _CLOSED, _headers()) is None
    assert accounts.replace_headers(None, sent) == sent


def test_rank_of_the_account_goes_first() -> None:
    """Guards against a route's priority that outweighs the account's."""
    first = account_rank(account('cafe', priority=0), 2)
    second = account_rank(account('bar', priority=1), 0)
    assert [account_rank(None, 2), first, second] == [2, 2, 3]


def _case(name: str) -> st.SearchStrategy[str]:
    variants: list[Callable[[str], str]] = [str.lower, str.upper, str.title]
    return st.sampled_from([change(name) for change in variants]).flatmap(
        lambda cased: st.sampled_from([cased, cased.replace('-', '_')]),
    )


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    # Lone surrogates stand for the bytes of headers that are not UTF-8.
    key=st.text(st.characters(exclude_categories=()), min_size=1, max_size=40),
    name=_case(HEADER_NAMES.account) | _case(HEADER_NAMES.authorization),
    stated=st.text(st.characters(exclude_categories=()), max_size=40),
    separator=st.sampled_from([' ', '\t', '', ' \u00a0', ',']),
)
@in_virtual_time
async def test_random_keys_and_account_headers(
    key: str,
    name: str,
    stated: str,
    separator: str,
) -> None:
    """Guards against a header of a caller that reaches a target as its
    account, against keys in errors, and against unexpected exceptions.
    """
    accounts = _accounts()
    routes = _routes(account('cafe', _KEY))
    with pytest.raises(UnansweredCall) as refusal:
        accounts.identify(
            routes,
            _CLOSED,
            _headers(f'Bearer{separator}{key}'),
        )
    assert str(refusal.value) == 'no known key'
    assert accounts.replace_headers(None, [[name, stated]]) == []
    assert accounts.replace_headers(
        account('cafe', _KEY),
        [[name, stated], ['accept', 'x']],
    ) == [['accept', 'x'], [HEADER_NAMES.account, 'cafe']]


@in_virtual_time
async def test_key_is_not_logged(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against keys in log lines."""
    caplog.set_level(logging.INFO)
    with pytest.raises(UnansweredCall):
        _accounts().identify(
            _routes(account('cafe')),
            _CLOSED,
            _headers(f'Bearer {_KEY}'),
        )
    logged = str(caplog.records[0].__dict__)
    assert key_digest(_KEY)[:8] in logged
    assert _KEY not in logged
    assert key_digest(_KEY) not in logged

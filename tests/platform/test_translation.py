"""Tests of the conversion of configurations and heartbeats."""

import json
from typing import Any

import pytest
from mustardspur_core.mesh import RouteShare
from mustardspur_platform.fields import BadField, table_number
from mustardspur_platform.heartbeats import decode_heartbeat
from mustardspur_platform.routing_table import decode_table

from tests.platform.samples import configuration, report

_LONG = 'x' * 10_000


def test_configuration_becomes_a_table() -> None:
    """Guards against a field of the configuration mapped to a wrong field."""
    table = decode_table(json.dumps(configuration()).encode())
    weighted, plain = table.routes['r-1'], table.routes['r-2']
    assert table.number == 7
    assert weighted.idempotent
    assert not plain.idempotent
    assert weighted.objective_ms == 400
    assert plain.timeout_ms == 1500
    assert weighted.shares[1] == RouteShare(service='two', weight=10.0)
    assert [share.service for share in plain.shares] == ['one']
    assert table.limits.idle_timeout_ms == 15_000


@pytest.mark.parametrize(
    ('tenants', 'requires_keys'),
    [
        ({}, False),
        ({'tenants': {}}, True),
        ({'tenants': {'north': {'api_keys': []}}}, True),
    ],
)
def test_stated_tenants_require_keys(
    tenants: dict[str, Any],
    requires_keys: bool,
) -> None:
    """Guards against an empty table of tenants that opens the routes."""
    decoded = decode_table(json.dumps({**configuration(), **tenants}).encode())
    assert decoded.requires_keys == requires_keys


@pytest.mark.parametrize(
    ('path', 'found'),
    [
        (('version',), 'seven'),
        (('routes',), []),
        (('routes', 'r-1', 'kind'), 'sometimes'),
        (('routes', 'r-1', 'timeout'), 1200),
        (('routes', 'r-1', 'timeout'), '1200'),
        (('routes', 'r-1', 'max_attempts'), True),
        (('routes', 'r-1', 'weighted_services'), 'one'),
        (('services', 'one', 'max_connections'), None),
        (('limits', 'max_body_bytes'), '64'),
        (('limits', 'max_body_bytes'), 10**30),
        (('version',), 'r'.ljust(5000, '9')),
        (('routes', 'r-1', 'priority'), -(10**30)),
    ],
)
def test_unreadable_field_is_named(path: tuple[str, ...], found: Any) -> None:
    """Guards against a partial table from an invalid configuration."""
    body = configuration()
    table: Any = body
    for name in path[:-1]:
        table = table[name]
    table[path[-1]] = found
    with pytest.raises(BadField, match=path[-1]):
        decode_table(json.dumps(body).encode())


@pytest.mark.parametrize('name', ['kind', 'service', 'max_attempts', _LONG])
def test_long_field_is_named_in_short(name: str) -> None:
    """Guards against answers and log lines as long as what an operator has
    sent.
    """
    document = configuration()
    document['routes']['r-2'] |= {name: _LONG if name == 'kind' else [_LONG]}
    content = json.dumps(document)
    if name == _LONG:
        # A key that occurs twice.
        content = content.replace(
            f'"{_LONG}": [', f'"{_LONG}": 0, "{_LONG}": ['
        )
    with pytest.raises(BadField) as error:
        decode_table(content.encode())
    assert len(str(error.value)) < len(_LONG)


def test_long_name_of_an_entry_is_cut() -> None:
    """Guards against answers and log lines with a route's name of any length,
    or a duration of any length.
    """
    body = configuration()
    body['routes']['x' * 100_000] = body['routes'].pop('r-1')
    body['routes']['x' * 100_000]['timeout'] = 'y' * 100_000
    with pytest.raises(BadField) as error:
        decode_table(json.dumps(body).encode())
    assert len(str(error.value)) < 1000


def test_weight_beyond_any_number_is_refused() -> None:
    """Guards against an exception for a number that no float can hold."""
    body = configuration()
    weighted = body['routes']['r-1']['weighted_services']
    weighted[0]['weight'] = 10**400
    with pytest.raises(BadField, match='weight'):
        decode_table(json.dumps(body).encode())


def test_cut_configuration_is_refused() -> None:
    """Guards against a truncated configuration being accepted."""
    content = json.dumps(configuration()).encode()
    with pytest.raises(BadField):
        decode_table(content[: len(content) // 2])


@pytest.mark.parametrize(('text', 'number'), [('r12', 12), ('0', 0), ('r0', 0)])
def test_table_number(text: str, number: int) -> None:
    """Guards against versions compared as text instead of numbers."""
    assert table_number(text) == number


@pytest.mark.parametrize('text', ['', 'r', 'r-1', 'v3', None, 4])
def test_bad_table_number(text: object) -> None:
    """Guards against a default number for an invalid version."""
    with pytest.raises(BadField):
        table_number(text)


def test_heartbeat_becomes_a_report() -> None:
    """Guards against a field of the heartbeat mapped to a wrong field."""
    decoded = decode_heartbeat('i-1', json.dumps(report()).encode())
    assert (decoded.id, decoded.service, decoded.slots) == ('i-1', 'one', 9)
    assert decoded.cold_ms == 250
    assert decoded.born == 1_700_000_000_000


@pytest.mark.parametrize(
    ('name', 'found'),
    [
        ('service', None),
        ('service', 7),
        ('state', 'asleep'),
        ('slots', '9'),
        ('slots', 0),
        ('slots', 10**30),
        ('sequence', 10**30),
        ('born', -(10**30)),
        ('sequence', 'four'),
        ('address', 'somewhere'),
        ('cold_remaining', 250),
        ('born', 1.5),
        ('address', '127.0.0.1:65536'),
        ('address', '127.0.0.1:0'),
        ('address', '127.0.0.1:\N{SUPERSCRIPT TWO}'),
        ('slots', 2**62),
        ('sequence', 2**62),
        ('born', 2**62),
        ('born', -1),
        ('cold_remaining', '1e300s'),
        ('cold_remaining', '-1ms'),
    ],
)
def test_foreign_heartbeat_names_no_target(name: str, found: Any) -> None:
    """Guards against a target created from an invalid heartbeat."""
    body = {**report(), name: found}
    with pytest.raises(BadField, match=name):
        decode_heartbeat('i-1', json.dumps(body).encode())


@pytest.mark.parametrize('name', sorted(report().keys() - {'born'}))
def test_heartbeat_with_a_missing_field(name: str) -> None:
    """Guards against a target created from an incomplete heartbeat."""
    body = report()
    body.pop(name)
    with pytest.raises(BadField, match=name):
        decode_heartbeat('i-1', json.dumps(body).encode())


@pytest.mark.parametrize('content', [b'', b'\xff\xfe', b'[]', b'{"a":1,"a":2}'])
def test_bytes_that_cannot_be_read(content: bytes) -> None:
    """Guards against an exception other than BadField."""
    with pytest.raises(BadField):
        decode_heartbeat('i-1', content)

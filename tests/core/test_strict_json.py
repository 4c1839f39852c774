"""Tests of the strict JSON parser."""

import json

import pytest
from mustardspur_core.strict_json import parse_json


@pytest.mark.parametrize(
    ('encoded', 'message'),
    [
        (b'', 'Expecting value'),
        (b'{"a": 1', 'delimiter'),
        (b'{"a": 1, "b": {"c": 1, "c": 2}}', "occur twice: ['c']"),
        (b'[NaN]', 'NaN is not a number'),
        (b'[-Infinity]', '-Infinity is not a number'),
        (b'"\xff"', 'utf-8'),
        (json.dumps('\ud800').encode(), 'surrogates'),
        (b'[' * 100_000, 'recursion'),
    ],
)
def test_ambiguous_document(encoded: bytes, message: str) -> None:
    """Guards against an ambiguous or invalid document being accepted."""
    findings = parse_json(encoded, 'p.json').error
    assert [finding.path for finding in findings.entries] == ['$']
    assert message in findings.entries[0].found


def test_good_document() -> None:
    """Guards against a valid document being rejected."""
    parsed = parse_json('{"a": ["č", 1.5, null]}'.encode(), 'p.json')
    assert parsed.ok == {'a': ['č', 1.5, None]}

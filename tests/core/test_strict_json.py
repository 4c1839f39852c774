"""Tests of the strict JSON parser."""

import json
import subprocess
import sys
from typing import Final

import pytest
from mustardspur_core.strict_json import parse_json

# A document of 12 MB.
_KEYS: Final = 1_000_000
_HANG_LIMIT_S: Final = 60
_CHECK: Final = """
import sys
from mustardspur_core.strict_json import parse_json
print(parse_json(sys.stdin.buffer.read(), 'document').error)
"""


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


def test_duplicate_key_among_many() -> None:
    """Guards against a document of legal size with one duplicate key that
    blocks the process for minutes.
    """
    pairs = ','.join(f'"{number}":0' for number in range(_KEYS))
    checked = subprocess.run(
        [sys.executable, '-c', _CHECK],
        input=f'{{{pairs},"7":0}}'.encode(),
        timeout=_HANG_LIMIT_S,
        check=True,
        stdout=subprocess.PIPE,
    )
    assert b"occur twice: ['7']" in checked.stdout


def test_good_document() -> None:
    """Guards against a valid document being rejected."""
    parsed = parse_json('{"a": ["č", 1.5, null]}'.encode(), 'p.json')
    assert parsed.ok == {'a': ['č', 1.5, None]}

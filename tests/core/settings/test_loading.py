"""Tests of loading and validating settings."""

import json
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Any

import pytest
from mustardspur_core.settings import load_settings, parse_settings

NODE: Mapping[str, Any] = MappingProxyType(
    {
        'role': 'node',
        'id': 'n1',
        'data_centre': 'split-a',
        'region': 'dalmacija',
        'listen': {'http': '127.0.0.1:8000'},
        'control': ['127.0.0.1:7000'],
        'service': 'forms',
    }
)


def test_defaults_are_filled() -> None:
    """Guards against missing default values."""
    settings = parse_settings({**NODE}, 'n1.json').ok
    assert settings.intervals.heartbeat_s == 1
    assert settings.location.region == 'dalmacija'


@pytest.mark.parametrize(
    ('changes', 'path'),
    [
        ({'role': 'other'}, '$.role'),
        ({'id': ''}, '$.id'),
        ({'control': []}, '$.control'),
        ({'control': ['localhost:7000']}, '$.control[0]'),
        ({'listen': {}}, '$.listen'),
        ({'colour': 'red'}, '$'),
        ({'role': 'control'}, '$'),
        ({'intervals': {'silence_s': 0.5}}, '$.intervals.silence_s'),
    ],
)
def test_findings_name_their_place(changes: Any, path: str) -> None:
    """Guards against a missing finding or one with a wrong path."""
    findings = parse_settings({**NODE, **changes}, 'n1.json').error
    assert path in [entry.path for entry in findings.entries]


@pytest.mark.parametrize('text', ['', '{', '[]', 'null'])
def test_damaged_file_is_a_finding(tmp_path: Path, text: str) -> None:
    """Guards against an exception for a file that is not valid settings."""
    path = tmp_path / 'n1.json'
    path.write_text(text)
    assert str(path) in str(load_settings(path).error)


def test_missing_file_is_a_finding(tmp_path: Path) -> None:
    """Guards against an exception for a missing file."""
    assert load_settings(tmp_path / 'none.json').is_error()


def test_file_is_read(tmp_path: Path) -> None:
    """Guards against settings that differ from the file."""
    path = tmp_path / 'n1.json'
    path.write_text(json.dumps({**NODE}))
    assert load_settings(path).ok.id == 'n1'

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


MESH_NODE: Mapping[str, Any] = MappingProxyType(
    {
        **NODE,
        'listen': {
            'stream': '127.0.0.1:7000',
            'http': '127.0.0.1:8000',
            'ready': '127.0.0.1:8001',
            'targets': '127.0.0.1:8002',
        },
    }
)


@pytest.mark.parametrize(
    ('field', 'text', 'expected'),
    [
        ('retry_slack', 29.142857142857142, 29.142857142857142),
        ('retry_slack', 408, 408),
        ('retry_slack', 0, 0),
        ('retry_ratio', 0, 0),
        ('retry_ratio', 1, 1),
        ('retry_ratio', 0.05, 0.05),
        ('exposure_share', 0, 0),
        ('exposure_share', 1, 1),
        ('seeds', [], []),
        (
            'seeds',
            ['10.0.0.1:80', '10.0.0.2:80'],
            ['10.0.0.1:80', '10.0.0.2:80'],
        ),
        ('target_address', '10.128.0.9:8080', '10.128.0.9:8080'),
        ('first_start', True, True),
    ],
)
def test_mesh_fields_accept_their_range(
    field: str, text: Any, expected: Any
) -> None:
    """Guards against a process that refuses settings of a larger mesh."""
    settings = parse_settings({**MESH_NODE, 'mesh': {field: text}}, 'n1.json')
    assert getattr(settings.ok.mesh, field) == expected


@pytest.mark.parametrize(
    ('field', 'text', 'seconds'),
    [
        ('grace', '10s', 10),
        ('contact', '4000ms', 4),
        ('retry_window', '2.5s', 2.5),
        ('retry_window', '0.5ms', 0.0005),
        ('grace', '0s', 0),
    ],
)
def test_mesh_durations_accept_both_units(
    field: str, text: str, seconds: float
) -> None:
    """Guards against a duration that is read in the wrong unit."""
    settings = parse_settings({**MESH_NODE, 'mesh': {field: text}}, 'n1.json')
    assert getattr(settings.ok.mesh, f'{field}_s') == pytest.approx(seconds)


@pytest.mark.parametrize(
    ('field', 'text'),
    [
        ('retry_slack', -1),
        ('retry_slack', '60'),
        ('retry_slack', None),
        ('retry_slack', True),
        ('retry_ratio', -0.1),
        ('exposure_share', 1.5),
        ('first_start', 1),
        ('grace', 6),
        ('grace', '-1s'),
        ('seeds', ['host:80']),
        ('colour', 'red'),
    ],
)
def test_bad_mesh_fields_are_findings(field: str, text: Any) -> None:
    """Guards against a wrong value that is accepted or raises."""
    parsed = parse_settings({**MESH_NODE, 'mesh': {field: text}}, 'n1.json')
    assert parsed.error.entries[0].path.startswith('$.mesh')

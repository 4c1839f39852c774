"""Tests of the first group of voters."""

from pathlib import Path
from typing import Any

from mustardspur_control.mesh.formation import formed_settings
from mustardspur_core.settings import Settings, parse_settings


def _settings(folder: Path, **mesh: Any) -> Settings:
    document = {
        'role': 'control',
        'id': '10.0.0.1',
        'data_centre': 'split-a',
        'region': 'dalmacija',
        'data_dir': str(folder),
        'peers': [],
        'listen': {'stream': '10.0.0.1:7000', 'http': '10.0.0.1:8000'},
        'mesh': {
            'seeds': ['10.0.0.2:8000', '10.0.0.1:8000', '10.0.0.3:8000'],
            **mesh,
        },
    }
    return parse_settings(document, 'settings').ok


def _formed(settings: Settings) -> list[str]:
    assert settings.mesh is not None
    peers = formed_settings(settings, settings.mesh).peers
    return [peer.stream for peer in peers]


def test_seeds_are_the_first_voters(tmp_path: Path) -> None:
    """Guards against two groups that form beside each other."""
    assert _formed(_settings(tmp_path, first_start=True)) == [
        '10.0.0.1:7000',
        '10.0.0.2:7000',
        '10.0.0.3:7000',
    ]


def test_restart_keeps_the_first_voters(tmp_path: Path) -> None:
    """Guards against a group of other voters after a change of the seeds."""
    first = _formed(_settings(tmp_path, first_start=True))
    later = _settings(tmp_path, first_start=False, seeds=['10.0.0.9:8000'])
    assert _formed(later) == first


def test_empty_disk_knows_no_voters(tmp_path: Path) -> None:
    """Guards against an instance that lost its disk and votes again."""
    assert not _formed(_settings(tmp_path, first_start=False))
    # Not even when the flag were set at a later start.
    assert not _formed(_settings(tmp_path, first_start=True))

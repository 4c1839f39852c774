"""Loading and validation of a settings file."""

import json
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

from expression import Error, Ok, Result

from mustardspur_core.conversion import decode_mapping
from mustardspur_core.durations import parse_s
from mustardspur_core.findings import Finding, Findings
from mustardspur_core.schemas import load_schema, schema_findings
from mustardspur_core.settings.model import Settings

_VALIDATOR = load_schema('mustardspur_core.settings', 'settings.schema.json')
_DEFAULTS: Final[Mapping[str, Any]] = MappingProxyType(
    {
        'data_dir': None,
        'peers': [],
        'control': [],
        'service': None,
        'calls': [],
        'statsd': None,
        'log_level': 'info',
        'timeline': None,
        'mesh': None,
    }
)
_DEFAULT_LISTEN: Final = MappingProxyType(
    dict.fromkeys(('stream', 'ready', 'targets', 'metrics')),
)
_MESH_DURATIONS: Final = frozenset(
    (
        'grace',
        'contact',
        'retry_window',
        'limit_window',
        'silent_target',
    ),
)
_DEFAULT_MESH: Final[Mapping[str, Any]] = MappingProxyType(
    {
        'seeds': [],
        'first_start': False,
        'target_address': None,
        'grace_s': 6.0,
        'contact_s': 3.0,
        'retry_ratio': 0.2,
        'retry_slack': 60.0,
        'retry_window_s': 10.0,
        'exposure_share': 0.1,
        'data_centres': {},
        'limit_window_s': 5.0,
        'limit_tolerance': 0.1,
        'limit_slack': 20.0,
        'link_mbps': 0,
        'memory_mb': 300,
        'max_descriptors': 0,
        'reserved_descriptors': 0,
        'max_table_bytes': 8_388_608,
        'balancing': 'least_expected',
        'silent_target_s': 0,
    }
)
_DEFAULT_INTERVALS: Final = MappingProxyType(
    {
        'heartbeat_s': 1.0,
        'silence_s': 3.0,
        'lease_s': 3.0,
        'election_s': 0.5,
        'drain_s': 30.0,
    }
)

_DEFAULTS_BY_PART: Final = MappingProxyType(
    {
        '': _DEFAULTS,
        'listen': _DEFAULT_LISTEN,
        'mesh': _DEFAULT_MESH,
        'intervals': _DEFAULT_INTERVALS,
    }
)


def load_settings(path: Path) -> Result[Settings, Findings]:
    """Load and validate a settings file.

    Parameters
    ----------
    path : Path
        The JSON file.

    Returns
    -------
    Result
        The settings, or all findings.
    """
    try:
        document = json.loads(path.read_text('utf-8'))
    except OSError as error:
        return _single_finding(path, 'a readable file', str(error))
    except ValueError as error:
        return _single_finding(path, 'JSON', str(error))
    return parse_settings(document, str(path))


def parse_settings(
    document: Any,
    file_name: str,
) -> Result[Settings, Findings]:
    """Validate a decoded settings document and fill in the defaults.

    Parameters
    ----------
    document : object
        Decoded JSON.
    file_name : str
        Name of the source in the findings.

    Returns
    -------
    Result
        The settings, or all findings.
    """
    entries = schema_findings(_VALIDATOR, document, file_name)
    if not entries:
        entries = _check_intervals(document, file_name)
    if entries:
        return Error(Findings(entries=entries))
    completed = {**_DEFAULTS, **document}
    completed['intervals'] = _intervals(document)
    completed['listen'] = {**_DEFAULT_LISTEN, **document['listen']}
    completed['mesh'] = _mesh(document)
    return Ok(decode_mapping(Settings, completed))


def default_of(path: str) -> Any:
    """Return the default of a field such as ``mesh.grace``, None for none."""
    part, _, name = path.rpartition('.')
    defaults = _DEFAULTS_BY_PART[part]
    if part == 'mesh' and name in _MESH_DURATIONS:
        seconds = format(defaults[f'{name}_s'], 'g')
        return f'{seconds}s'
    return defaults.get(name)


def _mesh(document: dict[str, Any]) -> dict[str, Any] | None:
    mesh_document = document.get('mesh')
    if mesh_document is None:
        return None
    mesh = dict(_DEFAULT_MESH)
    for name, value in mesh_document.items():
        if name in _MESH_DURATIONS:
            mesh[f'{name}_s'] = parse_s(value)
        else:
            mesh[name] = value
    return mesh


def _intervals(document: dict[str, Any]) -> dict[str, float]:
    return {**_DEFAULT_INTERVALS, **document.get('intervals', {})}


def _check_intervals(
    document: dict[str, Any],
    file_name: str,
) -> list[Finding]:
    intervals = _intervals(document)
    if intervals['silence_s'] > intervals['heartbeat_s']:
        return []
    return [
        Finding(
            source=file_name,
            path='$.intervals.silence_s',
            expected=f'more than heartbeat_s {intervals["heartbeat_s"]}',
            found=str(intervals['silence_s']),
        ),
    ]


def _single_finding(
    path: Path,
    expected: str,
    found: str,
) -> Result[Settings, Findings]:
    finding = Finding(
        source=str(path),
        path='$',
        expected=expected,
        found=found,
    )
    return Error(Findings(entries=[finding]))

"""Settings of a process, loaded from a JSON file and validated."""

from mustardspur_core.settings.loading import load_settings, parse_settings
from mustardspur_core.settings.model import (
    Intervals,
    Listen,
    MeshSettings,
    Peer,
    Settings,
)
from mustardspur_core.settings.watching import (
    SettingsFile,
    refusing_reloads,
    watching_settings,
)

__all__ = [
    'Intervals',
    'Listen',
    'MeshSettings',
    'Peer',
    'Settings',
    'SettingsFile',
    'load_settings',
    'parse_settings',
    'refusing_reloads',
    'watching_settings',
]

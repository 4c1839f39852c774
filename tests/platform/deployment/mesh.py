"""Processes with the settings that a platform writes from the templates."""

import json
import re
from functools import partial
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

from tests.platform.deployment.memory import LIMITS_MIB
from tests.platform.deployment.sites import Site
from tests.platform.final_faults.mesh import (
    FaultyMesh,
    RecordingLauncher,
    played_commit,
)
from tests.platform.mesh_processes import deployed_command

_SECTION: Final = re.compile(r'\{\{#([\w.]+)\}\}.*?\{\{/\1\}\}\n?', re.DOTALL)
_FIELD: Final = re.compile(r'\{\{([\w.]+)(\|json)?\}\}')
_METRICS_PORT: Final = 9464
_CONTROL: Final = 'control'
_BOUNDS: Final = MappingProxyType(
    {
        'grace': '6s',
        'contact': '3000ms',
        'retry_budget_ratio': 0.2,
        'budget_min_retries': 60,
        'budget_window': '10s',
        'exposure_share': 0.1,
    }
)
_LIMITS: Final = MappingProxyType({'max_fds': 4096, 'link_mbps': 1000.0})


class DeployedLauncher(RecordingLauncher):
    """Starts processes by the deployed command of the played commit.

    Attributes
    ----------
    is_recorded : bool
        Whether the file calls of control instances are recorded instead.
    """

    is_recorded = False

    def __init__(self, folder: Path) -> None:
        """Initialise with the folder of a mesh."""
        super().__init__(folder)
        self.commit = played_commit()

    def command(self, host: str, role: str) -> list[str]:
        """Return the command of a role."""
        if self.is_recorded and role == _CONTROL:
            return super().command(host, role)
        return deployed_command(role, self.commit)


class DeployedMesh(FaultyMesh):
    """Processes of one deployment.

    Attributes
    ----------
    site : Site
        The deployment.
    services : dict of str
        Service of the target beside each node.
    hosts_by_request : dict of str
        Machine whose target ran a call last.
    """

    launcher: DeployedLauncher
    site: Site
    services: dict[str, str]
    hosts_by_request: dict[str, str]

    async def start_control(
        self, host: str, *, first_start: bool, **mesh: Any
    ) -> None:
        """Start a control instance."""
        fields = {'data_dir': str(self.launcher.data_dir(host))}
        await self._start_deployed(host, _CONTROL, first_start, mesh | fields)

    async def start_node(
        self, host: str, data_centre: str = '', service: str = '', **mesh: Any
    ) -> None:
        """Start a node."""
        fields = {
            'service': service or self.services[host],
            'app_addr': f'{host}:{self.ports["target"]}',
        }
        await self._start_deployed(host, 'node', False, mesh | fields)

    def exchange_seeds(self, host: str, seeds: list[str]) -> None:
        """Write other seeds into the settings of a process."""
        path = self.folder / f'{host}.json'
        document = json.loads(path.read_text('utf-8'))
        document['mesh']['seeds'] = seeds
        path.write_text(json.dumps(document), 'utf-8')

    def place(self, host: str) -> tuple[str, str]:
        """Return the data centre and the region of a machine."""
        return self.site.place(int(host.rpartition('.')[2]))

    async def _start_deployed(
        self, host: str, role: str, first_start: bool, fields: dict[str, Any]
    ) -> None:
        data_centre, region = self.place(host)
        control = 'http' if role == _CONTROL else 'targets'
        fields |= {
            'ip': host,
            'zone': data_centre,
            'region': region,
            'zones': dict(self.site.places),
            'bootstrap': first_start,
            'bounds': _BOUNDS,
            'limits': _LIMITS | {'memory_mb': LIMITS_MIB[role]},
            'internal_port_range': [self.ports['stream']],
            'listen': {
                'control': f'{host}:{self.ports[control]}',
                'ready': f'{host}:{self.ports["ready"]}',
                'outbound': f'{host}:{self.ports["http"]}',
            },
        }
        template = self.launcher.commit / 'deploy' / f'{role}.json'
        document = json.loads(render(template.read_text('utf-8'), fields))
        metrics = document['listen']['metrics']
        document['listen']['metrics'] = metrics.replace(
            str(_METRICS_PORT), str(self.ports['metrics'])
        )
        await self._start(host, document)


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template; sections need fields that no deployment here has."""
    return _FIELD.sub(partial(_text, fields), _SECTION.sub('', template))


def _text(fields: Any, match: re.Match[str]) -> str:
    found = fields
    for key in match.group(1).split('.'):
        found = found[int(key)] if isinstance(found, list) else found[key]
    return json.dumps(found) if match.group(2) else str(found)

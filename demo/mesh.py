"""Layout of the demo's mesh: instances, data centres, settings files."""

import json
from pathlib import Path
from typing import Any, Final

from mustardspur_core.record import Record
from mustardspur_core.locations import DataCentre

SERVICE: Final = 'lens-bench'
PROFILE: Final = 'lens-bench-standard'
STREAM_PORT: Final = 7000
HTTP_PORT: Final = 8000
TARGET_PORT_BASE: Final = 9000
TARGET_SLOTS: Final = 9
VOTERS: Final = 3
_SERVER_HOSTS: Final = (10, 11)
_DATA_CENTRES: Final = (
    ('erie-toledo', 'erie'),
    ('erie-cleveland', 'erie'),
    ('mich-milwaukee', 'michigan'),
    ('mich-gary', 'michigan'),
)


class Server(Record):
    """An instance with a node and its targets."""

    __slots__ = ('id', 'host', 'data_centre')
    id: str
    host: str
    data_centre: DataCentre

    @property
    def node_address(self) -> str:
        """Address where the node accepts calls, as HOST:PORT."""
        return f'{self.host}:{HTTP_PORT}'


class ControlInstance(Record):
    """A control instance."""

    __slots__ = ('id', 'host', 'data_centre', 'voter')
    id: str
    host: str
    data_centre: DataCentre
    voter: bool

    @property
    def http_address(self) -> str:
        """Address of the HTTP API for operators, as HOST:PORT."""
        return f'{self.host}:{HTTP_PORT}'

    @property
    def stream_address(self) -> str:
        """Address of streams of nodes and peers, as HOST:PORT."""
        return f'{self.host}:{STREAM_PORT}'


class DemoMesh:
    """The instances of the demo and the folder with their files.

    Parameters
    ----------
    folder : Path
        Folder for settings, data, logs and time lines.
    network : int
        Second number of the loopback addresses. Demos that run at the same
        time need different numbers.
    """

    __slots__ = ('controls', 'folder', 'servers')

    def __init__(self, folder: Path, network: int) -> None:
        """Create a control instance and two servers in each data centre."""
        self.folder = folder
        self.controls: list[ControlInstance] = []
        self.servers: list[Server] = []
        for number, (name, region) in enumerate(_DATA_CENTRES):
            prefix = f'127.{network}.{number}'
            data_centre = DataCentre(name=name, region=region)
            self.controls.append(
                ControlInstance(
                    id=f'control-{number}',
                    host=f'{prefix}.1',
                    data_centre=data_centre,
                    voter=number < VOTERS,
                ),
            )
            self.servers.extend(
                Server(
                    id=f'node-{number}-{server}',
                    host=f'{prefix}.{host}',
                    data_centre=data_centre,
                )
                for server, host in enumerate(_SERVER_HOSTS)
            )

    def write_control(self, control: ControlInstance) -> Path:
        """Write the settings file of a control instance; return its path."""
        return self._write_settings(
            control.id,
            self._common_settings(control.id, control.data_centre)
            | {
                'role': 'control',
                'data_dir': str(self.folder / 'data' / control.id),
                'listen': {
                    'stream': control.stream_address,
                    'http': control.http_address,
                },
                'peers': [self._peer_settings(peer) for peer in self.controls],
            },
        )

    def write_node(self, server: Server) -> Path:
        """Write the settings file of a node; return its path."""
        return self._write_settings(
            server.id,
            self._common_settings(server.id, server.data_centre)
            | {
                'role': 'node',
                'data_dir': str(self.folder / 'data' / server.id),
                'listen': {'http': server.node_address},
                'control': [
                    control.stream_address
                    for control in self._control_in_region(server.data_centre)
                ],
                'service': SERVICE,
            },
        )

    def write_target(
        self,
        server: Server,
        version: str,
        **changes: Any,
    ) -> Path:
        """Write the settings file of a server's target; return its path.

        Parameters
        ----------
        server : Server
            Server of the target.
        version : str
            Version of the service, such as ``1.4.0``.
        **changes
            Settings that differ from the defaults.
        """
        target_id = f'{server.id}-target-{version}'
        port = TARGET_PORT_BASE + int(version.replace('.', ''))
        document = {
            'id': target_id,
            'service': SERVICE,
            'version': version,
            'address': f'{server.host}:{port}',
            'node': server.node_address,
            'slots': TARGET_SLOTS,
            'fault_share': 0,
            'fault_after_s': 0,
            'work_s': 0.004,
            'runs': str(self.folder / 'runs' / f'{target_id}.txt'),
        }
        (self.folder / 'runs').mkdir(parents=True, exist_ok=True)
        return self._write_settings(target_id, document | changes)

    def _common_settings(
        self, name: str, data_centre: DataCentre
    ) -> dict[str, Any]:
        return {
            'id': name,
            'data_centre': data_centre.name,
            'region': data_centre.region,
            'timeline': str(self.folder / 'timeline' / f'{name}.jsonl'),
        }

    def _peer_settings(self, control: ControlInstance) -> dict[str, Any]:
        return {
            'id': control.id,
            'stream': control.stream_address,
            'http': control.http_address,
            'data_centre': control.data_centre.name,
            'region': control.data_centre.region,
            'voter': control.voter,
        }

    def _control_in_region(
        self, data_centre: DataCentre
    ) -> list[ControlInstance]:
        return sorted(
            (
                control
                for control in self.controls
                if control.data_centre.region == data_centre.region
            ),
            key=lambda control: data_centre.distance_to(control.data_centre),
        )

    def _write_settings(self, name: str, document: dict[str, Any]) -> Path:
        path = self.folder / 'settings' / f'{name}.json'
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps(document, indent=2), encoding='utf-8')
        return path

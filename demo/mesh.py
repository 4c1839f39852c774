"""Layout of the demo's mesh: instances, data centres and settings files."""

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
        """Address for calls."""
        return f'{self.host}:{HTTP_PORT}'


class Control(Record):
    """An instance set aside for control."""

    __slots__ = ('id', 'host', 'data_centre', 'voter')
    id: str
    host: str
    data_centre: DataCentre
    voter: bool

    @property
    def http_address(self) -> str:
        """Address for operators."""
        return f'{self.host}:{HTTP_PORT}'

    @property
    def stream_address(self) -> str:
        """Address for nodes and other control instances."""
        return f'{self.host}:{STREAM_PORT}'


class Mesh:
    """All instances of the demo and the folder with their files.

    Parameters
    ----------
    folder : Path
        For settings, data, logs and time lines.
    network : int
        Second number of the loopback addresses, so that two demos at a
        time do not meet.
    """

    __slots__ = ('controls', 'folder', 'servers')

    def __init__(self, folder: Path, network: int) -> None:
        """Lay out the instances."""
        self.folder = folder
        self.controls: list[Control] = []
        self.servers: list[Server] = []
        for place, (name, region) in enumerate(_DATA_CENTRES):
            prefix = f'127.{network}.{place}'
            data_centre = DataCentre(name=name, region=region)
            self.controls.append(
                Control(
                    id=f'control-{place}',
                    host=f'{prefix}.1',
                    data_centre=data_centre,
                    voter=place < VOTERS,
                ),
            )
            self.servers.extend(
                Server(
                    id=f'node-{place}-{number}',
                    host=f'{prefix}.{host}',
                    data_centre=data_centre,
                )
                for number, host in enumerate(_SERVER_HOSTS)
            )

    def write_control(self, control: Control) -> Path:
        """Write the settings file of a control instance."""
        return self._write(
            control.id,
            self._common(control.id, control.data_centre)
            | {
                'role': 'control',
                'data_dir': str(self.folder / 'data' / control.id),
                'listen': {
                    'stream': control.stream_address,
                    'http': control.http_address,
                },
                'peers': [self._peer(peer) for peer in self.controls],
            },
        )

    def write_node(self, server: Server) -> Path:
        """Write the settings file of a node."""
        return self._write(
            server.id,
            self._common(server.id, server.data_centre)
            | {
                'role': 'node',
                'data_dir': str(self.folder / 'data' / server.id),
                'listen': {'http': server.node_address},
                'control': [
                    control.stream_address
                    for control in self._nearest(server.data_centre)
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
        """Write the settings file of a target of a version."""
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
        return self._write(target_id, document | changes)

    def _common(self, name: str, data_centre: DataCentre) -> dict[str, Any]:
        return {
            'id': name,
            'data_centre': data_centre.name,
            'region': data_centre.region,
            'timeline': str(self.folder / 'timeline' / f'{name}.jsonl'),
        }

    def _peer(self, control: Control) -> dict[str, Any]:
        return {
            'id': control.id,
            'stream': control.stream_address,
            'http': control.http_address,
            'data_centre': control.data_centre.name,
            'region': control.data_centre.region,
            'voter': control.voter,
        }

    def _nearest(self, data_centre: DataCentre) -> list[Control]:
        return sorted(
            (
                control
                for control in self.controls
                if control.data_centre.region == data_centre.region
            ),
            key=lambda control: data_centre.distance_to(control.data_centre),
        )

    def _write(self, name: str, document: dict[str, Any]) -> Path:
        path = self.folder / 'settings' / f'{name}.json'
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps(document, indent=2), encoding='utf-8')
        return path

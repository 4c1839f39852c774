"""The first group of voters, and how an instance knows it after a restart.

At the first start every instance is told the same seeds. They are the first
voters, so that the group forms once and without negotiation; every other
instance joins later. An instance that starts later with an empty disk knows
no voters: it neither votes nor stands until the leader has taken it in.
"""

import json
from pathlib import Path
from typing import Final

from mustardspur_core.conversion import decode_mapping, encode_mapping
from mustardspur_core.files import replace_synced
from mustardspur_core.record import replaced
from mustardspur_core.settings import MeshSettings, Peer, Settings

_FILE_NAME: Final = 'first-voters.json'


def formed_settings(settings: Settings, mesh: MeshSettings) -> Settings:
    """Return the settings with the first voters as peers.

    Raises
    ------
    OSError
        If the data folder cannot be used.
    ValueError
        If the file with the first voters is damaged.
    """
    folder = Path(settings.data_dir or '')
    kept = _load(folder / _FILE_NAME)
    if kept is None:
        kept = _first_voters(settings, mesh) if mesh.first_start else []
        _save(folder, kept)
    return replaced(settings, peers=kept)


def control_peer(settings: Settings, http: str) -> Peer:
    """Return the peer that serves operators at an address.

    Explanation
    ===========

    Ports are the same for all control instances, and the IP number of an
    instance is its identifier.
    """
    host = http.rpartition(':')[0]
    stream_port = (settings.listen.stream or '').rpartition(':')[2]
    return Peer(
        id=host,
        stream=f'{host}:{stream_port}',
        http=http,
        data_centre='',
        region='',
        voter=True,
    )


def own_peer(settings: Settings) -> Peer:
    """Return this instance as the others name it."""
    return Peer(
        id=settings.id,
        stream=settings.listen.stream or '',
        http=settings.listen.http,
        data_centre=settings.data_centre,
        region=settings.region,
        voter=True,
    )


def _first_voters(settings: Settings, mesh: MeshSettings) -> list[Peer]:
    return [control_peer(settings, seed) for seed in sorted(mesh.seeds)]


def _load(path: Path) -> list[Peer] | None:
    if not path.exists():
        return None
    rows = json.loads(path.read_text('utf-8'))
    return [decode_mapping(Peer, row) for row in rows]


def _save(folder: Path, peers: list[Peer]) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    text = json.dumps([encode_mapping(peer) for peer in peers])
    replace_synced(folder / _FILE_NAME, text.encode())

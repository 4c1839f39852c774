"""The first voters of a mesh and their file on disk.

At the first start of a mesh every instance has the same seeds. The seeds are
the first voters, so that a single group forms without negotiation; further
instances join later. An instance that starts later with an empty disk knows
no voters: it neither votes nor becomes a candidate until the leader adds it.
"""

import errno
import json
from contextlib import suppress
from functools import partial
from pathlib import Path
from typing import Final

from mustardspur_agreement import first_voters, log_disk
from mustardspur_core.conversion import decode_mapping, encode_mapping
from mustardspur_core.files import (
    make_folder_synced,
    replace_synced,
    sync_path,
)
from mustardspur_core.record import replaced
from mustardspur_core.settings import MeshSettings, Peer, Settings
from mustardspur_core.start_wait import StartWait

_FILE_NAME: Final = 'first-voters.json'
# A disk that is full or read-only, or fails for a while.
_TEMPORARY: Final = frozenset(
    (errno.ENOSPC, errno.EDQUOT, errno.EROFS, errno.EIO),
)


def settings_with_first_voters(
    settings: Settings, mesh: MeshSettings
) -> Settings:
    """Return the settings with the first voters as peers.

    The voters are read from the data folder. Without a file they are the
    seeds at the first start of the mesh and none otherwise, and the file is
    written.

    Raises
    ------
    OSError
        If the data folder cannot be used.
    ValueError
        If the file with the first voters is damaged.
    """
    folder = Path(settings.data_dir or '')
    stored = _load(folder / _FILE_NAME)
    voters = first_voters(
        stored,
        [control_peer(settings, seed) for seed in sorted(mesh.seeds)],
        first_start=mesh.first_start,
    )
    if stored is None:
        _save(folder, voters)
    return replaced(settings, peers=voters)


def remember_first_start(settings: Settings, mesh: MeshSettings) -> None:
    """Write the first voters at the first start, before it waits for anything.

    Explanation
    ===========

    A process that is ended while it waits would otherwise know no voters at
    its next start, which is not the first one any more. No lock is needed, as
    the file is written once, atomically. A disk that refuses it is waited for
    by `obtain_files`.
    """
    if mesh.first_start:
        with suppress(OSError):
            settings_with_first_voters(settings, mesh)


def obtain_files(
    settings: Settings, mesh: MeshSettings, wait: StartWait
) -> None:
    """Obtain the files that the instance needs, before it runs.

    Explanation
    ===========

    An instance whose disk takes no file for its first voters must not form a
    mesh, since it would not know of it after its next start. With files from
    before it needs no room, but what it read has to be durable.

    Raises
    ------
    OSError
        If the disk refuses to the end of the wait.
    """
    wait.obtain(
        f'files in {settings.data_dir}',
        partial(_prepare_files, settings, mesh),
        _is_temporary,
    )


def remembers_first_start(settings: Settings) -> bool:
    """Whether the data folder was there at the first start of the mesh.

    Explanation
    ===========

    Only a first start writes a file that names voters, before the instance
    takes part in anything. A lost disk loses the file, and a later start
    with an empty disk writes one without voters.

    Parameters
    ----------
    settings : Settings
        Settings from `settings_with_first_voters`.
    """
    return bool(settings.peers)


def control_peer(settings: Settings, http: str) -> Peer:
    """Return the control instance whose HTTP interface has an address.

    Explanation
    ===========

    All control instances use the same ports, and the IP address of an
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
    """Return this instance as a peer of the other control instances."""
    return Peer(
        id=settings.id,
        stream=settings.listen.stream or '',
        http=settings.listen.http,
        data_centre=settings.data_centre,
        region=settings.region,
        voter=True,
    )


def _prepare_files(settings: Settings, mesh: MeshSettings) -> None:
    settings_with_first_voters(settings, mesh)
    disk = log_disk(settings)
    for name in disk.names():
        disk.sync(name)
    disk.sync_folder()


def _is_temporary(error: OSError) -> bool:
    return error.errno in _TEMPORARY


def _load(path: Path) -> list[Peer] | None:
    if not path.exists():
        return None
    # A process that was killed may have written the file without a sync.
    sync_path(path)
    sync_path(path.parent)
    peers = json.loads(path.read_text('utf-8'))
    return [decode_mapping(Peer, peer) for peer in peers]


def _save(folder: Path, peers: list[Peer]) -> None:
    make_folder_synced(folder)
    text = json.dumps([encode_mapping(peer) for peer in peers])
    replace_synced(folder / _FILE_NAME, text.encode())

"""Snapshots of the applied state and the file of the newest one."""

from typing import Final

import msgpack
from mustardspur_core.conversion import decode_array, encode_array
from mustardspur_core.record import Record
from mustardspur_core.settings import Peer

from mustardspur_agreement.ballot import replace_file
from mustardspur_agreement.entries import pack
from mustardspur_agreement.ports import Disk
from mustardspur_agreement.records import decode_record, encode_record

_NAME: Final = 'snapshot'


class Snapshot(Record):
    """The applied state at an index.

    Parameters
    ----------
    index, term : int
        Last entry that the state includes, and its term.
    voters : list of Peer
        The voters as of that entry.
    content : bytes
        Serialised state of the state machine.
    """

    __slots__ = ('index', 'term', 'voters', 'content')
    index: int
    term: int
    voters: list[Peer]
    content: bytes


def pack_snapshot(snapshot: Snapshot) -> bytes:
    """Return a snapshot as bytes for the disk or the wire."""
    return pack(encode_array(snapshot))


def unpack_snapshot(packed: bytes) -> Snapshot:
    """Return the snapshot that `pack_snapshot` packed.

    Raises
    ------
    ValueError
        If the bytes are not a snapshot.
    """
    return decode_array(Snapshot, msgpack.unpackb(packed))


def has_snapshot(disk: Disk) -> bool:
    """Whether a snapshot file exists, readable or not."""
    return _NAME in disk.names()


def load_snapshot(disk: Disk) -> Snapshot | None:
    """Read the snapshot; None if it is missing or damaged."""
    payload = decode_record(disk.read(_NAME) or b'')
    return None if payload is None else unpack_snapshot(payload)


def save_snapshot(disk: Disk, snapshot: Snapshot) -> None:
    """Replace the snapshot file durably and atomically."""
    replace_file(disk, _NAME, encode_record(pack_snapshot(snapshot)))


def remove_snapshot(disk: Disk) -> None:
    """Remove a damaged snapshot."""
    disk.remove(_NAME)
    disk.sync_folder()

"""Hard state of an instance (term, vote and trust) and its files."""

from typing import Final

import msgpack
from mustardspur_core.conversion import decode_array, encode_array
from mustardspur_core.record import Record

from mustardspur_agreement.entries import pack
from mustardspur_agreement.ports import Disk
from mustardspur_agreement.records import decode_record, encode_record

_NAMES: Final = ('ballot-1', 'ballot-2')
TEMPORARY_SUFFIX: Final = '.new'


class Ballot(Record):
    """Hard state that must survive a restart.

    Parameters
    ----------
    term : int
        Highest term seen.
    voted_for : str or None
        Candidate that received the vote in that term.
    trusted : bool
        Whether its files hold all that it has acknowledged. An instance
        that is not trusted neither votes nor counts towards a quorum.
    """

    __slots__ = ('term', 'voted_for', 'trusted')
    term: int
    voted_for: str | None
    trusted: bool


def first_ballot() -> Ballot:
    """Return the ballot of an instance without files."""
    return Ballot(term=0, voted_for=None, trusted=False)


def load_ballot(disk: Disk) -> Ballot:
    """Read the newest readable copy; an untrusted ballot if there is none.

    A voter that loses its vote could vote twice in a term. There are two
    copies, so that damage to one of them does not lose the vote.
    """
    copies = [decode_record(disk.read(name) or b'') for name in _NAMES]
    ballots = [
        decode_array(Ballot, msgpack.unpackb(payload))
        for payload in copies
        if payload is not None
    ]
    # After a power loss between the two writes the copies can differ within
    # one term. The first copy is then the newer one, and `max` returns it.
    return max(
        ballots,
        key=lambda ballot: ballot.term,
        default=first_ballot(),
    )


def save_ballot(disk: Disk, ballot: Ballot) -> None:
    """Replace both copies durably, each atomically."""
    for name in _NAMES:
        replace_file(disk, name, encode_record(pack(encode_array(ballot))))


def replace_file(disk: Disk, name: str, content: bytes) -> None:
    """Write a file so that a power loss leaves the old or the new one.

    Raises
    ------
    OSError
        If a write fails; the old file is then unchanged.
    """
    temporary = f'{name}{TEMPORARY_SUFFIX}'
    disk.remove(temporary)
    disk.write(temporary, 0, content)
    disk.sync(temporary)
    disk.rename(temporary, name)
    disk.sync_folder()

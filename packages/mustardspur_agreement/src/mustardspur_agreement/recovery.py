"""Recovery after the majority of the voters is lost for good."""

from expression import Error, Ok, Result
from mustardspur_core.record import Record
from mustardspur_core.settings import Peer, Settings

from mustardspur_agreement.ballot import Ballot
from mustardspur_agreement.entries import Entry, EntryKind
from mustardspur_agreement.membership import pack_voters
from mustardspur_agreement.ports import Disk
from mustardspur_agreement.storage import Loaded, LogStorage


class Recovered(Record):
    """What a recovered instance goes on with.

    Parameters
    ----------
    index : int
        Last index of the log, that of the entry that names the only voter.
    uncommitted : int
        Entries that were not known to be committed; they are in force now.
    """

    __slots__ = ('index', 'uncommitted')
    index: int
    uncommitted: int


def recover_alone(
    settings: Settings,
    disk: Disk,
) -> Result[Recovered, str]:
    """Make a stopped instance the only voter of its log.

    Explanation
    ===========

    The entry that names the voters is appended without a quorum. Edits that
    only the lost voters had are lost, and a lost voter that comes back with
    its files would still believe in the old voters: it must be emptied
    first. Nothing in the system calls this function by itself.

    Parameters
    ----------
    settings : Settings
        Settings of the instance, which name it among the peers.
    disk : Disk
        Its files; nothing else may use them.

    Returns
    -------
    Result
        What the instance goes on with, or why it cannot be recovered.
    """
    own = {peer.id: peer for peer in settings.peers}.get(settings.id)
    if own is None:
        return Error(f'{settings.id} is not among its own peers')
    storage = LogStorage(disk)
    loaded = storage.load()
    if loaded.damage or not loaded.ballot.trusted:
        return Error(loaded.damage or 'the files are new or were damaged')
    return Ok(_append_voters(storage, loaded, own))


def _append_voters(
    storage: LogStorage,
    loaded: Loaded,
    own: Peer,
) -> Recovered:
    term = loaded.ballot.term + 1
    last_index = loaded.commit_index
    if loaded.entries:
        last_index = loaded.entries[-1].index
    own.voter = True
    # The term first: if the power is lost in between, the command is run
    # again and finds the same log.
    storage.save_ballot(Ballot(term=term, voted_for=None, trusted=True))
    entry = Entry(
        index=last_index + 1,
        term=term,
        kind=EntryKind.VOTERS.value,
        content=pack_voters([own]),
    )
    storage.append([entry])
    return Recovered(
        index=entry.index,
        uncommitted=last_index - loaded.commit_index,
    )

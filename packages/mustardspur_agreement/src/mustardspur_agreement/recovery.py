"""Recovery after a permanent loss of the majority of the voters."""

from expression import Error, Ok, Result
from mustardspur_core.record import Record
from mustardspur_core.settings import Peer, Settings

from mustardspur_agreement.ballot import Ballot
from mustardspur_agreement.entries import Entry, EntryKind
from mustardspur_agreement.membership import pack_voters
from mustardspur_agreement.ports import Disk
from mustardspur_agreement.storage import Loaded, LogStorage


class Recovered(Record):
    """Result of a recovery.

    Parameters
    ----------
    index : int
        Last index of the log, that of the appended membership entry.
    uncommitted : int
        Number of entries not known to be committed before, which the recovery
        commits.
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

    The membership entry is appended without a quorum. Entries that only the
    lost voters stored are lost. A lost voter that returns with its files still
    uses the old membership, so its files must be removed first. Only an
    operator starts this recovery; the system never does.

    Parameters
    ----------
    settings : Settings
        Settings of the instance; it must be among the peers.
    disk : Disk
        Files of the instance; no other process may use them.

    Returns
    -------
    Result
        The recovery, or the reason why it is impossible.
    """
    own = {peer.id: peer for peer in settings.peers}.get(settings.id)
    if own is None:
        return Error(
            f'instance {settings.id} is not in the peers of its settings'
        )
    storage = LogStorage(disk)
    loaded = storage.load()
    if loaded.damage or not loaded.ballot.trusted:
        return Error(loaded.damage or 'the log files are new or were damaged')
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
    # The term is saved before the entry is appended: after a power loss between
    # the two writes, the recovery can run again on the same log.
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

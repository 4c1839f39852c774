"""Decisions on voters, entries, quorums and refills.

The functions have no side effects, so that the tasks of the log and the model
check call the same rules.
"""

from collections.abc import Iterable
from typing import TypeVar

from mustardspur_agreement.entries import Entry, EntryKind
from mustardspur_agreement.entry_list import EntryList
from mustardspur_agreement.membership import Membership
from mustardspur_agreement.messages import AppendRequest, BarrierAnswer

_VoterT = TypeVar('_VoterT')


def first_voters(
    stored: list[_VoterT] | None,
    seeds: list[_VoterT],
    *,
    first_start: bool,
) -> list[_VoterT]:
    """Return the voters of an instance before it has entries.

    Parameters
    ----------
    stored : list or None
        The first voters in the data folder, None without their file.
    seeds : list
        The seeds of the settings.
    first_start : bool
        Whether this is the first start of the whole mesh.
    """
    if stored is None:
        return seeds if first_start else []
    return stored


def matches_log(
    entries: EntryList,
    commit_index: int,
    request: AppendRequest,
) -> bool:
    """Whether the log has the entry before the first one of a request."""
    if request.prev_index <= commit_index:
        return True
    return entries.term_at(request.prev_index) == request.prev_term


def conflicts_with_committed(
    entries: EntryList,
    commit_index: int,
    index: int,
    term: int,
) -> bool:
    """Whether the entry that a leader has at an index contradicts a commit."""
    own_term = entries.term_at(index)
    return index <= commit_index and own_term not in {None, term}


def last_possible_match(
    entries: EntryList,
    commit_index: int,
    request: AppendRequest,
) -> int:
    """Return the highest index that can match after a refused append."""
    last_possible = min(request.prev_index - 1, entries.last_index)
    return max(last_possible, commit_index)


def new_entries(
    entries: EntryList,
    commit_index: int,
    batch: list[Entry],
) -> list[Entry]:
    """Return the entries of a batch from the first that is not in the log."""
    for position, entry in enumerate(batch):
        is_committed = entry.index <= commit_index
        if not is_committed and entries.term_at(entry.index) != entry.term:
            return batch[position:]
    return []


def matched_index(request: AppendRequest, batch: list[Entry]) -> int:
    """Return the index up to which the log matches after an append."""
    return batch[-1].index if batch else request.prev_index


def committed_index(
    membership: Membership,
    entries: EntryList,
    match_by_id: dict[str, int],
    term: int,
) -> int:
    """Return the index that a leader commits, 0 for none.

    An entry of an earlier term can be on a quorum and still be overwritten
    by a later leader, so only entries of the current term are committed by
    counting replicas.
    """
    index = membership.quorum_index(match_by_id)
    return index if entries.term_at(index) == term else 0


def may_change_voters(
    entries: EntryList,
    commit_index: int,
    first_index: int,
) -> bool:
    """Whether a leader may append a change of voters.

    The first entry of its term and every earlier change must be committed.
    Otherwise the quorums of two pending changes could have no common voter.

    Parameters
    ----------
    entries : EntryList
        The log of the leader.
    commit_index : int
        Its commit index.
    first_index : int
        Index of the first entry of its term.
    """
    is_changing = is_changing_voters(entries, commit_index)
    return commit_index >= first_index and not is_changing


def is_changing_voters(entries: EntryList, commit_index: int) -> bool:
    """Whether a change of voters is not committed yet."""
    pending = entries.between(commit_index + 1, entries.last_index)
    return any(entry.kind == EntryKind.VOTERS for entry in pending)


def survives_disk_loss(
    membership: Membership,
    remembering: Iterable[str],
) -> bool:
    """Whether a quorum is left after the loss of any one more disk.

    Explanation
    ===========

    What a quorum has committed can be read after the loss of a disk as long
    as the other voters that remember what they acknowledged are a quorum,
    since every two quorums share a voter. Fewer than three voters never
    survive it, and nothing is gained by waiting.

    Parameters
    ----------
    membership : Membership
        The voters.
    remembering : iterable of str
        Instances that have what they acknowledged.
    """
    voters = membership.voters_by_id.keys()
    if len(voters) <= membership.quorum:
        return True
    return len(voters & set(remembering)) > membership.quorum


def is_refilled(
    commit_index: int,
    answer: BarrierAnswer,
    voters: Membership,
) -> bool:
    """Whether a log holds an entry that was committed after a confirmation.

    An instance that lost its disk in a mesh learns the voters from the log.
    Until it knows them it cannot stand, although it may be the only one left
    with all committed entries.

    Parameters
    ----------
    commit_index : int
        Commit index of the instance.
    answer : BarrierAnswer
        The confirmation of a leader.
    voters : Membership
        The voters as of the commit index.
    """
    is_later = commit_index > answer.last_index
    return is_later and bool(voters.voters_by_id)

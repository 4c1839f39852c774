"""Decisions on votes and on the trust in an instance.

The functions have no side effects, so that the tasks of the log and the model
check call the same rules.
"""

from collections.abc import Iterable

from mustardspur_agreement.ballot import Ballot
from mustardspur_agreement.entry_list import EntryList
from mustardspur_agreement.membership import Membership, has_first_voters
from mustardspur_agreement.messages import UnanimousVoteRequest, VoteRequest

AnyVoteRequest = VoteRequest | UnanimousVoteRequest


def may_vote(ballot: Ballot) -> bool:
    """Whether an instance may vote and count towards a quorum.

    It may once its files hold all that it has acknowledged: after a first
    start that its data folder remembers, or after a refill.
    """
    return ballot.trusted


def may_vote_unanimously(entries: EntryList, *, is_voter: bool) -> bool:
    """Whether an instance may vote in an election that needs every voter.

    Explanation
    ===========

    Such an election counts the votes of instances that may have lost what
    they acknowledged. As long as fewer than a quorum have, each acknowledged
    entry is in the log of a voter that remembers it, and that one refuses a
    candidate without the entry. It is limited to the first voters, since a
    former voter must not bring others together that no longer count.
    """
    return is_voter and has_first_voters(entries)


def may_campaign(ballot: Ballot, *, is_voter: bool) -> bool:
    """Whether an instance may be the candidate of an election by a quorum."""
    return is_voter and may_vote(ballot)


def may_campaign_unanimously(
    ballot: Ballot,
    entries: EntryList,
    membership: Membership,
    own_id: str,
) -> bool:
    """Whether an instance may be the candidate of an election by all voters."""
    # A single voter whose files are damaged has nobody that remembers.
    is_damaged = not ballot.trusted and ballot.term > 0
    if is_damaged and is_only_voter(membership, own_id):
        return False
    is_voter = own_id in membership.voters_by_id
    return may_vote_unanimously(entries, is_voter=is_voter)


def is_only_voter(membership: Membership, own_id: str) -> bool:
    """Whether an instance is the only voter."""
    return membership.voters_by_id.keys() == {own_id}


def is_eligible(
    ballot: Ballot,
    entries: EntryList,
    request: AnyVoteRequest,
) -> bool:
    """Whether the log and the term of a candidate allow a vote for it."""
    own_last = (entries.last_term, entries.last_index)
    if (request.last_term, request.last_index) < own_last:
        return False
    # A candidate that lost its disk may have led the term that it asks for, so
    # an election that counts its vote needs a new term.
    if isinstance(request, UnanimousVoteRequest):
        return request.term > ballot.term
    if request.term == ballot.term:
        return ballot.voted_for in {None, request.candidate}
    return request.term > ballot.term


def is_won(
    membership: Membership,
    granted: Iterable[str],
    *,
    unanimous: bool,
) -> bool:
    """Whether the votes of a quorum, or of all voters, win an election."""
    if unanimous:
        return membership.voters_by_id.keys() <= set(granted)
    return membership.is_quorum(granted)


def is_trusted_by_election(
    ballot: Ballot,
    unanimous_term: int,
    leader: str,
    term: int,
    matched_term: int | None,
) -> bool:
    """Whether an append makes an instance trusted that was not.

    A leader for which this instance voted unanimously has the votes of all,
    hence all acknowledged entries. Once its log matches up to an entry of that
    term, so has this instance. Another leader of the term has the votes of a
    quorum only, of which a voter can still grant one to the candidate that
    has a forgotten vote of this instance.

    Parameters
    ----------
    ballot : Ballot
        The ballot of the instance.
    unanimous_term : int
        The newest term in which it voted unanimously.
    leader : str
        The leader that sends the append.
    term, matched_term : int
        Term of the leader and of the last entry that matches.
    """
    is_elected_by_all = unanimous_term == term and ballot.voted_for == leader
    return is_elected_by_all and matched_term == term and not ballot.trusted


def is_candidate(ballot: Ballot, own_id: str, term: int) -> bool:
    """Whether an instance is still the candidate of a term."""
    return ballot.term == term and ballot.voted_for == own_id


def accepts_leader(ballot: Ballot, term: int) -> bool:
    """Whether an instance accepts requests of the leader of a term."""
    return term >= ballot.term

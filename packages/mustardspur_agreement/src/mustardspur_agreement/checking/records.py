"""Records of the product for states of the model."""

from mustardspur_core.settings import Peer

from mustardspur_agreement.ballot import Ballot
from mustardspur_agreement.checking.caching import step
from mustardspur_agreement.checking.model import Instance, Item, Late, Log
from mustardspur_agreement.entries import Entry, EntryKind
from mustardspur_agreement.entry_list import EntryList
from mustardspur_agreement.membership import (
    Membership,
    pack_voters,
    stored_voters,
)
from mustardspur_agreement.messages import (
    AppendRequest,
    UnanimousVoteRequest,
    VoteRequest,
)
from mustardspur_agreement.voting_rules import AnyVoteRequest


def ballot_of(instance: Instance) -> Ballot:
    """Return the ballot of an instance."""
    return Ballot(
        term=instance.term,
        voted_for=instance.voted_for or None,
        trusted=instance.trusted,
    )


def with_ballot(instance: Instance, ballot: Ballot) -> Instance:
    """Return an instance with a ballot; a higher term ends its role."""
    changed = instance._replace(
        term=ballot.term,
        voted_for=ballot.voted_for or '',
        trusted=ballot.trusted,
    )
    return as_follower(changed) if ballot.term > instance.term else changed


def as_trusted(instance: Instance) -> Instance:
    """Return an instance that needs no refill."""
    return instance._replace(
        trusted=True,
        answer=None,
        unanimous_term=0,
    )


def as_follower(instance: Instance) -> Instance:
    """Return an instance that is neither candidate nor leader."""
    return instance._replace(
        role=0,
        votes=(),
        stood_with=(),
        is_unanimous=False,
        first_index=0,
        matches=(),
        barrier=None,
    )


@step
def entries_of(log: Log) -> EntryList:
    """Return the entries of a log."""
    return EntryList(
        [_entry(index, item) for index, item in enumerate(log, start=1)],
        None,
    )


@step
def membership_of(log: Log, first: tuple[str, ...]) -> Membership:
    """Return the voters of an instance."""
    stored = stored_voters(entries_of(log), len(log))
    return stored or Membership(_peer(name) for name in first)


def voters_of(instance: Instance) -> tuple[str, ...]:
    """Return the names of the voters of an instance, sorted."""
    membership = membership_of(instance.log, instance.first)
    return tuple(sorted(membership.voters_by_id))


def vote_request(request: Late) -> AnyVoteRequest:
    """Return the request of a candidate."""
    entries = entries_of(request.log)
    if request.is_unanimous:
        return UnanimousVoteRequest(
            term=request.term,
            candidate=request.sender,
            last_index=entries.last_index,
            last_term=entries.last_term,
            pre_vote=False,
        )
    return VoteRequest(
        term=request.term,
        candidate=request.sender,
        last_index=entries.last_index,
        last_term=entries.last_term,
        pre_vote=False,
        handover=False,
    )


def append_request(request: Late, prev_index: int) -> AppendRequest:
    """Return a request of a leader, without its entries."""
    return AppendRequest(
        term=request.term,
        leader=request.sender,
        prev_index=prev_index,
        prev_term=entries_of(request.log).term_at(prev_index) or 0,
        commit_index=request.commit,
        packed=b'',
        compressed=False,
    )


def _entry(index: int, item: Item) -> Entry:
    voters = [_peer(name) for name in item.voters]
    return Entry(
        index=index,
        term=item.term,
        kind=EntryKind.VOTERS if voters else EntryKind.DATA,
        content=pack_voters(voters) if voters else b'',
    )


def _peer(name: str) -> Peer:
    return Peer(
        id=name,
        stream='',
        http='',
        data_centre='',
        region='',
        voter=True,
    )

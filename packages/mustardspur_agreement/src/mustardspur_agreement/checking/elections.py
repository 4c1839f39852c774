"""Steps of an election at one instance, decided by the rules of the product."""

from mustardspur_agreement import ballot_rules, voting_rules
from mustardspur_agreement.checking.caching import step
from mustardspur_agreement.checking.model import (
    CANDIDATE,
    LEADER,
    Instance,
    Late,
)
from mustardspur_agreement.checking.records import (
    as_trusted,
    ballot_of,
    entries_of,
    membership_of,
    vote_request,
    voters_of,
    with_ballot,
)
from mustardspur_agreement.checking.replication import proposed


def request_of(instance: Instance) -> Late:
    """Return the request that a candidate or leader has in flight."""
    is_leader = instance.role == LEADER
    return Late(
        is_append=is_leader,
        sender=instance.name,
        term=instance.term,
        log=instance.log if is_leader else instance.stood_with,
        commit=instance.commit,
        is_unanimous=instance.is_unanimous,
    )


@step
def campaigning(instance: Instance, is_unanimous: bool) -> Instance | None:
    """Return an instance that has started a term, None if it may not."""
    if not _may_campaign(instance, is_unanimous):
        return None
    ballot = ballot_rules.after_start_of_term(
        ballot_of(instance),
        membership_of(instance.log, instance.first),
        instance.name,
    )
    candidate = with_ballot(instance, ballot)._replace(
        role=CANDIDATE,
        stood_with=instance.log,
        is_unanimous=is_unanimous,
    )
    return counted(candidate, instance.name)


@step
def voted(voter: Instance, request: Late) -> Instance | None:
    """Return a voter that has granted its vote, None if it refuses."""
    ballot = ballot_of(voter)
    vote = vote_request(request)
    is_granted = _may_vote(voter, request) and voting_rules.is_eligible(
        ballot, entries_of(voter.log), vote
    )
    if not is_granted:
        return None
    after = with_ballot(voter, ballot_rules.after_vote(ballot, vote))
    if request.is_unanimous and not after.trusted:
        return after._replace(unanimous_term=request.term)
    return after


@step
def counted(candidate: Instance, voter: str) -> Instance:
    """Return a candidate with a vote; it leads once it has enough votes."""
    votes = tuple(sorted({*candidate.votes, voter}))
    membership = membership_of(candidate.stood_with, candidate.first)
    if not voting_rules.is_won(
        membership, votes, unanimous=candidate.is_unanimous
    ):
        return candidate._replace(votes=votes)
    elected = ballot_rules.after_election(ballot_of(candidate))
    leader = as_trusted(with_ballot(candidate, elected))._replace(
        role=LEADER,
        votes=(),
        stood_with=(),
        is_unanimous=False,
        first_index=len(candidate.log) + 1,
    )
    return proposed(leader, ())


@step
def adopted(instance: Instance, term: int) -> Instance:
    """Return an instance that has seen a term."""
    ballot = ballot_rules.after_term(ballot_of(instance), term)
    return with_ballot(instance, ballot)


def _may_campaign(instance: Instance, is_unanimous: bool) -> bool:
    ballot = ballot_of(instance)
    if is_unanimous:
        return voting_rules.may_campaign_unanimously(
            ballot,
            entries_of(instance.log),
            membership_of(instance.log, instance.first),
            instance.name,
        )
    is_voter = instance.name in voters_of(instance)
    return voting_rules.may_campaign(ballot, is_voter=is_voter)


def _may_vote(voter: Instance, request: Late) -> bool:
    if request.is_unanimous:
        return voting_rules.may_vote_unanimously(
            entries_of(voter.log),
            is_voter=voter.name in voters_of(voter),
        )
    return voting_rules.may_vote(ballot_of(voter))

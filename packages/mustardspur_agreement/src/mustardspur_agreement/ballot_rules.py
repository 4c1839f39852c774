"""What becomes of a ballot.

The functions have no side effects, so that the tasks of the log and the model
check call the same rules.
"""

from mustardspur_core.record import replaced

from mustardspur_agreement.ballot import Ballot
from mustardspur_agreement.membership import Membership
from mustardspur_agreement.messages import BarrierAnswer
from mustardspur_agreement.voting_rules import AnyVoteRequest, is_only_voter


def ballot_at_start(
    ballot: Ballot,
    *,
    is_fresh: bool,
    remembers_first_start: bool,
) -> Ballot:
    """Return the ballot of an instance that starts.

    Parameters
    ----------
    ballot : Ballot
        The ballot of its files.
    is_fresh : bool
        Whether it has no files.
    remembers_first_start : bool
        Whether its data folder was there at the first start of the system.
        Without files it has then acknowledged nothing.
    """
    if is_fresh and remembers_first_start:
        return replaced(ballot, trusted=True)
    return ballot


def after_vote(ballot: Ballot, request: AnyVoteRequest) -> Ballot:
    """Return the ballot after a granted vote."""
    return Ballot(
        term=request.term,
        voted_for=request.candidate,
        trusted=ballot.trusted,
    )


def after_start_of_term(
    ballot: Ballot,
    membership: Membership,
    candidate: str,
) -> Ballot:
    """Return the ballot of a candidate that starts a term."""
    return Ballot(
        term=ballot.term + 1,
        voted_for=candidate,
        trusted=ballot.trusted or is_only_voter(membership, candidate),
    )


def after_election(ballot: Ballot) -> Ballot:
    """Return the ballot of an elected leader."""
    return replaced(ballot, trusted=True)


def after_term(ballot: Ballot, term: int) -> Ballot:
    """Return the ballot after a term was seen; only a higher one changes it."""
    if term > ballot.term:
        return Ballot(term=term, voted_for=None, trusted=ballot.trusted)
    return ballot


def after_refill(ballot: Ballot, answer: BarrierAnswer) -> Ballot:
    """Return the ballot of an instance that is refilled."""
    return replaced(after_term(ballot, answer.term), trusted=True)


def after_damage(ballot: Ballot) -> Ballot:
    """Return the ballot of an instance whose files are damaged."""
    # Term 0 is reserved for instances that never had any files.
    return replaced(ballot, term=max(ballot.term, 1), trusted=False)

"""Actions of elections."""

from collections.abc import Iterator

from mustardspur_agreement.checking.effects import (
    in_role,
    newer_term,
    others,
    put,
)
from mustardspur_agreement.checking.elections import (
    campaigning,
    counted,
    request_of,
    voted,
)
from mustardspur_agreement.checking.model import (
    CANDIDATE,
    LEADER,
    Instance,
    Setup,
    State,
)
from mustardspur_agreement.checking.moves import Move, action
from mustardspur_agreement.checking.records import membership_of


@action
def campaign(state: State, _setup: Setup) -> Iterator[Move]:
    """An instance starts a term; a leader has stepped down before."""
    for one in state.instances:
        candidate = campaigning(one, False)
        if candidate and candidate.term <= state.budget.terms:
            text = f'{one.name} starts term {candidate.term}'
            yield Move(text, put(state, candidate))


@action
def campaign_unanimously(state: State, _setup: Setup) -> Iterator[Move]:
    """An instance starts a term in which it needs the votes of all."""
    for one in state.instances:
        candidate = campaigning(one, True)
        if candidate and candidate.term <= state.budget.terms:
            text = f'{one.name} starts term {candidate.term} for all votes'
            yield Move(text, put(state, candidate))


@action
def vote(state: State, _setup: Setup) -> Iterator[Move]:
    """A voter answers a vote request; the answer arrives or is lost."""
    for candidate in in_role(state, CANDIDATE):
        for voter in others(state, candidate, _asked_voters(candidate)):
            granted = voted(voter, request_of(candidate))
            if granted is None:
                yield from newer_term(state, candidate, voter)
            else:
                yield from _granted(state, candidate, granted)


def _asked_voters(candidate: Instance) -> str:
    membership = membership_of(candidate.stood_with, candidate.first)
    return ''.join(membership.voters_by_id)


def _granted(
    state: State,
    candidate: Instance,
    voter: Instance,
) -> Iterator[Move]:
    text = f'{voter.name} votes for {candidate.name}'
    yield Move(f'{text}, answer lost', put(state, voter))
    elected = counted(candidate, voter.name)
    if elected.role == LEADER:
        text = f'{text}, leader of term {elected.term}'
    yield Move(text, put(state, voter, elected))

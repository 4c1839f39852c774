"""Answers to vote and pre-vote requests."""

import asyncio

from mustardspur_agreement.ballot_rules import after_vote
from mustardspur_agreement.messages import (
    UnanimousVoteRequest,
    VoteAnswer,
    VoteRequest,
)
from mustardspur_agreement.replica import Replica
from mustardspur_agreement.voting_rules import (
    AnyVoteRequest,
    is_eligible,
    may_vote,
    may_vote_unanimously,
)


def has_leader_contact(replica: Replica) -> bool:
    """Whether a leader is in contact within the minimum election timeout."""
    if replica.leadership is not None:
        return True
    now_s = asyncio.get_running_loop().time()
    return now_s - replica.contact.leader_s < replica.election_s


async def answer_vote(replica: Replica, request: VoteRequest) -> VoteAnswer:
    """Grant or refuse a vote; a granted vote is durable before the answer."""
    async with replica.lock:
        granted = (
            may_vote(replica.ballot)
            and (request.handover or not has_leader_contact(replica))
            and await _grant(replica, request)
        )
        return VoteAnswer(term=replica.ballot.term, granted=granted)


async def answer_unanimous_vote(
    replica: Replica,
    request: UnanimousVoteRequest,
) -> VoteAnswer:
    """Grant or refuse a vote of an election that needs every voter."""
    async with replica.lock:
        granted = (
            may_vote_unanimously(replica.entries, is_voter=replica.is_voter)
            and not has_leader_contact(replica)
            and await _grant(replica, request)
        )
        if granted and not request.pre_vote:
            replica.unanimous_term = request.term
        return VoteAnswer(term=replica.ballot.term, granted=granted)


async def _grant(replica: Replica, request: AnyVoteRequest) -> bool:
    if not is_eligible(replica.ballot, replica.entries, request):
        return False
    return request.pre_vote or await _record_vote(replica, request)


async def _record_vote(replica: Replica, request: AnyVoteRequest) -> bool:
    vote = after_vote(replica.ballot, request)
    try:
        await replica.record_ballot(vote)
    except OSError as error:
        replica.context.report('vote_not_recorded', reason=str(error))
        return False
    return True

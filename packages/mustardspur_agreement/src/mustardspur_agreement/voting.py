"""Answers to vote and pre-vote requests."""

import asyncio

from mustardspur_agreement.ballot import Ballot
from mustardspur_agreement.messages import VoteAnswer, VoteRequest
from mustardspur_agreement.replica import Replica


def has_leader_contact(replica: Replica) -> bool:
    """Whether a leader is in contact within the minimum election timeout."""
    if replica.leadership is not None:
        return True
    now_s = asyncio.get_running_loop().time()
    return now_s - replica.contact.leader_s < replica.election_s


def may_vote(replica: Replica, last_index: int) -> bool:
    """Whether this instance may vote for a log that ends at an index.

    An instance without files cannot distinguish a first start from a lost
    disk, so it votes only if the candidate's log is empty too.
    """
    if replica.ballot.trusted:
        return True
    return replica.ballot.term == 0 and last_index == 0


async def answer_vote(replica: Replica, request: VoteRequest) -> VoteAnswer:
    """Grant or refuse a vote; a granted vote is durable before the answer."""
    async with replica.lock:
        granted = _would_grant(replica, request)
        if granted and not request.pre_vote:
            granted = await _record_vote(replica, request)
        return VoteAnswer(term=replica.ballot.term, granted=granted)


def _would_grant(replica: Replica, request: VoteRequest) -> bool:
    if not may_vote(replica, request.last_index):
        return False
    if has_leader_contact(replica) and not request.handover:
        return False
    entries = replica.entries
    own_last = (entries.last_term, entries.last_index)
    if (request.last_term, request.last_index) < own_last:
        return False
    ballot = replica.ballot
    if request.term == ballot.term:
        return ballot.voted_for in {None, request.candidate}
    return request.term > ballot.term


async def _record_vote(replica: Replica, request: VoteRequest) -> bool:
    vote = Ballot(
        term=request.term,
        voted_for=request.candidate,
        trusted=True,
    )
    try:
        await replica.record_ballot(vote)
    except OSError as error:
        replica.context.report('vote_not_recorded', reason=str(error))
        return False
    return True

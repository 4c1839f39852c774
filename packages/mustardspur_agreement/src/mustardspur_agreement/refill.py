"""Refill of a replica whose files are new or were damaged."""

import asyncio
from functools import partial

from mustardspur_agreement.ballot_rules import after_refill
from mustardspur_agreement.barriers import MAX_HOPS, Barriers
from mustardspur_agreement.log_rules import is_refilled
from mustardspur_agreement.messages import BarrierAnswer
from mustardspur_agreement.replica import Replica, committed_voters

_REFILL_TIMEOUT_ELECTIONS = 8


async def refill(replica: Replica, barriers: Barriers) -> None:
    """Trust the replica again once its log has all acknowledged entries.

    Explanation
    ===========

    The instance may have lost entries that it acknowledged, and votes. Its
    answers do not count towards a quorum, so every such entry that is
    committed is in the log of any leader that a quorum confirms after the
    damage was found. The instance is trusted again once its log holds what
    that leader had and an entry that was committed later. A quorum of others
    holds that entry and refuses a candidate without it, so a candidate that
    got a forgotten vote can no longer be elected with it. The function runs
    until cancelled.
    """
    while True:
        await replica.changed.wait_for(partial(_needs_refill, replica))
        answer = await barriers.obtain(MAX_HOPS)
        if answer.confirmed and await _wait_until_refilled(replica, answer):
            await _mark_trusted(replica, answer)
        await asyncio.sleep(replica.election_s)


def _needs_refill(replica: Replica) -> bool:
    return not replica.ballot.trusted and replica.leader is not None


async def _wait_until_refilled(replica: Replica, answer: BarrierAnswer) -> bool:
    return await replica.changed.wait_until(
        lambda: is_refilled(
            replica.commit_index, answer, committed_voters(replica)
        ),
        replica.election_s * _REFILL_TIMEOUT_ELECTIONS,
    )


async def _mark_trusted(replica: Replica, answer: BarrierAnswer) -> None:
    async with replica.lock:
        if replica.ballot.trusted:
            return
        term = max(answer.term, replica.ballot.term)
        try:
            await replica.adopt_term(term)
            await replica.record_ballot(after_refill(replica.ballot, answer))
        except OSError as error:
            replica.context.report('term_not_recorded', reason=str(error))
            return
    replica.context.report('refilled', term=term, index=answer.last_index)

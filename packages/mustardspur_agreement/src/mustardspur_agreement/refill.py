"""Refill of a replica whose files are new or were damaged."""

import asyncio
from functools import partial

from mustardspur_core.record import replaced

from mustardspur_agreement.barriers import MAX_HOPS, Barriers
from mustardspur_agreement.messages import BarrierAnswer
from mustardspur_agreement.replica import Replica

_FILL_TIMEOUT_ELECTIONS = 4


async def refill(replica: Replica, barriers: Barriers) -> None:
    """Wait until the log contains all acknowledged entries, then trust it.

    Explanation
    ===========

    The instance may have acknowledged an entry that it has lost. Every such
    entry that is committed is in the log of a leader that a quorum without
    this instance confirmed after the damage was found. So the instance is
    trusted again once its log equals that leader's up to the end that the
    leader's log had at its confirmation.
    """
    while True:
        await replica.changed.wait_for(partial(_needs_refill, replica))
        answer = await barriers.obtain(MAX_HOPS)
        if answer.confirmed and await _wait_until_filled(replica, answer):
            await _trust(replica, answer)
        await asyncio.sleep(replica.election_s)


def _needs_refill(replica: Replica) -> bool:
    return not replica.ballot.trusted and replica.leader is not None


async def _wait_until_filled(replica: Replica, answer: BarrierAnswer) -> bool:
    return await replica.changed.wait_until(
        lambda: _is_filled(replica, answer),
        replica.election_s * _FILL_TIMEOUT_ELECTIONS,
    )


def _is_filled(replica: Replica, answer: BarrierAnswer) -> bool:
    contact = replica.contact
    matched = (
        contact.matched_term >= answer.term
        and contact.matched_index >= answer.last_index
    )
    return matched or replica.commit_index >= answer.last_index


async def _trust(replica: Replica, answer: BarrierAnswer) -> None:
    async with replica.lock:
        term = max(answer.term, replica.ballot.term)
        try:
            await replica.adopt_term(term)
            await replica.record_ballot(replaced(replica.ballot, trusted=True))
        except OSError as error:
            replica.context.report('term_not_recorded', reason=str(error))
            return
    replica.context.report('refilled', term=term, index=answer.last_index)

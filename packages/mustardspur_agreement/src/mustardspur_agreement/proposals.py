"""Proposals, appended to the leader's log in batches."""

import asyncio
from collections.abc import Callable
from typing import Final

from expression import Error

from mustardspur_agreement.entries import MAX_BATCH_BYTES, Entry, EntryKind
from mustardspur_agreement.leadership import (
    Leadership,
    Outcome,
    Proposal,
    answer,
)
from mustardspur_agreement.replica import Replica
from mustardspur_agreement.replication import advance_commit
from mustardspur_agreement.segments import UncertainWriteError

# A quorum with full disks stays in contact but rejects entries, so a proposal
# needs a timeout of its own.
_TIMEOUT_ELECTIONS: Final = 20


class Proposals:
    """Queues proposals and appends them to the leader's log.

    Explanation
    ===========

    Proposals queued during a sync form the next batch. An entry is sent to
    peers only after it is durable on the leader, so an entry that the disk
    rejects is never committed.

    Parameters
    ----------
    replica : Replica
        State of the local replica.
    pause_elections : callable
        Suspends the campaigns of this instance for a while.
    """

    __slots__ = ('_pause_elections', '_replica')

    def __init__(
        self,
        replica: Replica,
        pause_elections: Callable[[], None],
    ) -> None:
        """Initialise without proposals."""
        self._replica = replica
        self._pause_elections = pause_elections

    async def propose(self, kind: EntryKind, content: bytes) -> Outcome:
        """Queue an entry and wait until it is applied or rejected."""
        leadership = self._replica.leadership
        if leadership is None:
            return Error(self._replica.error('not_leader', 'not the leader'))
        proposal = Proposal(
            kind=kind,
            content=content,
            outcome=asyncio.get_running_loop().create_future(),
        )
        leadership.queue.append(proposal)
        self._replica.changed.notify()
        return await self._outcome(proposal)

    async def run(self) -> None:
        """Write batches until cancelled."""
        while True:
            await self._replica.changed.wait_for(self._has_work)
            async with self._replica.lock:
                leadership = self._replica.leadership
                if leadership is not None:
                    await self._write(leadership)

    async def _outcome(self, proposal: Proposal) -> Outcome:
        timeout_s = self._replica.election_s * _TIMEOUT_ELECTIONS
        try:
            async with asyncio.timeout(timeout_s):
                return await proposal.outcome
        except TimeoutError:
            return Error(
                self._replica.error(
                    'unknown', 'no quorum answered before the timeout'
                ),
            )

    def _has_work(self) -> bool:
        leadership = self._replica.leadership
        return leadership is not None and bool(leadership.queue)

    async def _write(self, leadership: Leadership) -> None:
        batch = _next_batch(leadership.queue)
        first_index = self._replica.entries.last_index + 1
        entries = [
            Entry(
                index=first_index + position,
                term=leadership.term,
                kind=proposal.kind,
                content=proposal.content,
            )
            for position, proposal in enumerate(batch)
        ]
        try:
            await self._replica.append(entries)
        except OSError as error:
            self._reject(batch, error)
            return
        self._register_waiting(leadership, first_index, batch)

    def _register_waiting(
        self,
        leadership: Leadership,
        first_index: int,
        batch: list[Proposal],
    ) -> None:
        leadership.waiting_by_index.update(enumerate(batch, first_index))
        if self._replica.leadership is leadership:
            advance_commit(self._replica, leadership)
        else:
            lost = self._replica.error('unknown', 'leadership was lost')
            leadership.fail_all(Error(lost), Error(lost))

    def _reject(self, batch: list[Proposal], error: OSError) -> None:
        uncertain = isinstance(error, UncertainWriteError)
        kind = 'unknown' if uncertain else 'disk'
        refusal = self._replica.error(kind, str(error))
        for proposal in batch:
            answer(proposal, Error(refusal))
        self._pause_elections()
        self._replica.context.report('proposal_refused', reason=str(error))
        self._replica.step_down(f'an entry could not be written: {error}')


def _next_batch(queue: list[Proposal]) -> list[Proposal]:
    """Remove and return the proposals of the next batch, at least one."""
    batch: list[Proposal] = []
    total_bytes = 0
    while queue and (not batch or total_bytes <= MAX_BATCH_BYTES):
        batch.append(queue.pop(0))
        total_bytes += len(batch[-1].content)
    return batch

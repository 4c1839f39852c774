"""Access of the operations of a control instance to the replicated log."""

import asyncio
import logging
from typing import Final

from expression import Error, Ok, Result
from mustardspur_agreement import Committed, ProposalError, ReplicatedLog
from mustardspur_core.mesh.entries import MeshAnswer
from mustardspur_core.record import Record
from mustardspur_core.wire import encode_frame

_LOG: Final = logging.getLogger(__name__)

# Operators time out after about a second; an entry may still commit later.
PROPOSE_TIMEOUT_S: Final = 3.0
READ_TIMEOUT_S: Final = 1.5


class OperationError(Record):
    """Error of an operation that this instance cannot answer.

    Parameters
    ----------
    reason : str
        Text for the operator.
    leader_http : str or None
        HTTP address of the leader if the request belongs there and the leader
        is known.
    """

    __slots__ = ('reason', 'leader_http')
    reason: str
    leader_http: str | None


class LogAccess:
    """Proposes entries and confirms reads, with errors for operators.

    Parameters
    ----------
    log : ReplicatedLog
        Log that commits the entries and confirms the reads.
    """

    __slots__ = ('_log',)

    def __init__(self, log: ReplicatedLog) -> None:
        """Initialise the access to a log."""
        self._log = log

    def refusal(self) -> OperationError | None:
        """Return the error of an edit if this instance does not lead."""
        if self._log.is_leader:
            return None
        return self._error('this instance is not the leader')

    async def propose(
        self,
        entry: Record,
    ) -> Result[MeshAnswer, OperationError]:
        """Commit an entry and return the answer of applying it.

        An error leaves open whether the entry is committed later.
        """
        refusal = self.refusal()
        if refusal is not None:
            return Error(refusal)
        try:
            async with asyncio.timeout(PROPOSE_TIMEOUT_S):
                outcome = await asyncio.shield(
                    self._log.propose(encode_frame(entry)),
                )
                assured = await self._assure(outcome)
        except TimeoutError:
            return Error(
                self._unavailable('no quorum answered before the timeout')
            )
        if assured.is_error():
            return Error(self._proposal_error(assured.error))
        answer = outcome.ok.answer
        assert isinstance(answer, MeshAnswer)
        _log_committed(entry, outcome.ok, answer, is_assured=assured.ok)
        return Ok(answer)

    async def confirm(self) -> Result[int, OperationError]:
        """Wait until a quorum confirms that the applied state is current."""
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                barrier = await self._log.read_barrier()
        except TimeoutError:
            return Error(
                self._unavailable('no quorum answered before the timeout')
            )
        if barrier.is_error():
            return Error(self._unavailable(barrier.error.detail))
        return Ok(barrier.ok)

    async def _assure(
        self, outcome: Result[Committed, ProposalError]
    ) -> Result[bool, ProposalError]:
        if outcome.is_error():
            return Error(outcome.error)
        return await self._log.assure(outcome.ok)

    def _proposal_error(self, error: ProposalError) -> OperationError:
        if error.kind == 'not_leader':
            return self._error(error.detail)
        return self._unavailable(f'{error.kind}: {error.detail}')

    def _error(self, reason: str) -> OperationError:
        leader = self._log.leader
        peer = self._log.voter_peers.get(leader or '')
        return OperationError(
            reason=reason,
            leader_http=peer.http if peer else None,
        )

    def _unavailable(self, reason: str) -> OperationError:
        return OperationError(reason=reason, leader_http=None)


def _log_committed(
    entry: Record,
    committed: Committed,
    answer: MeshAnswer,
    *,
    is_assured: bool,
) -> None:
    _LOG.info(
        'order committed',
        extra={
            'order': type(entry).__name__,
            'outcome': answer.status,
            'index': committed.index,
            'term': committed.term,
            'holders': committed.holders,
            'survives_disk_loss': is_assured,
        },
    )

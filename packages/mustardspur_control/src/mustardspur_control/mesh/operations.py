"""Operations that a control instance of a mesh offers to operators."""

import asyncio
import logging
import time
from typing import Final

import xxhash
from expression import Error, Ok, Result
from mustardspur_agreement import ProposalError, ReplicatedLog
from mustardspur_core.compression import (
    compress_bytes,
    compress_change,
    decompress_bytes,
)
from mustardspur_core.findings import Finding
from mustardspur_core.mesh.checks import check_table
from mustardspur_core.mesh.entries import (
    ChangeTable,
    MeshAnswer,
    PublishTable,
    StartTransfer,
)
from mustardspur_core.mesh.model import RoutingTable, Transfer
from mustardspur_core.mesh.packing import encode_packed, encode_table
from mustardspur_core.record import Record
from mustardspur_core.wire import encode_frame

from mustardspur_control.mesh.store import (
    INVALID,
    MeshStore,
)

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


class PublishOutcome(Record):
    """Result of an edit of the routing table.

    Parameters
    ----------
    status : str
        ``accepted``, ``conflict`` or ``invalid``.
    number : int
        Number of the table in force.
    findings : list of Finding
        Errors of the table, empty for a valid one.
    """

    __slots__ = ('status', 'number', 'findings')
    status: str
    number: int
    findings: list[Finding]


class PublishedTable(Record):
    """The table in force, as the operator sent it.

    Parameters
    ----------
    number : int
        Number of the table.
    document : bytes
        The operator's document, uncompressed.
    """

    __slots__ = ('number', 'document')
    number: int
    document: bytes


class MeshOperations:
    """Edits and linearizable reads of the replicated state.

    Parameters
    ----------
    log : ReplicatedLog
        Log that commits the edits and confirms the reads.
    store : MeshStore
        The applied state.
    """

    __slots__ = ('_log', '_store')

    def __init__(self, log: ReplicatedLog, store: MeshStore) -> None:
        """Initialise the operations on a log and its applied state."""
        self._log = log
        self._store = store

    async def publish(
        self,
        table: RoutingTable,
        base: int,
        document: bytes,
    ) -> Result[PublishOutcome, OperationError]:
        """Replace the routing table.

        Parameters
        ----------
        table : RoutingTable
            The new table, complete.
        base : int
            Number of the table that it is based on, 0 for none.
        document : bytes
            The table as the operator sent it, returned by reads.

        Returns
        -------
        Result
            The outcome, or an error if this instance cannot determine it.
        """
        digest = xxhash.xxh3_128_hexdigest(b'%d %s' % (base, document))
        findings = check_table(table)
        if findings and digest not in self._store.state.accepted:
            _log_edit(table, base, INVALID, str(findings[0]))
            return Ok(self._outcome(INVALID, findings))
        entry = self._edit(table, base, digest, document)
        answer = await self._propose(entry)
        if answer.is_error():
            _log_edit(table, base, 'unanswered', answer.error.reason)
            return Error(answer.error)
        _log_edit(table, base, answer.ok.status, '')
        return Ok(self._outcome(answer.ok.status, []))

    async def read(self) -> Result[PublishedTable | None, OperationError]:
        """Return the table in force, None before the first one.

        Returns
        -------
        Result
            An error if no quorum confirms that the state is current.
        """
        confirmed = await self._confirm()
        if confirmed.is_error():
            return Error(confirmed.error)
        state = self._store.state
        if not state.table_index:
            return Ok(None)
        document = decompress_bytes(state.document)
        return Ok(PublishedTable(number=state.number, document=document))

    async def start_transfer(
        self,
        service: str,
        version: str,
        duration_ms: float,
    ) -> Result[str, OperationError]:
        """Start the transfer of a service to a version.

        Parameters
        ----------
        service, version : str
            The service and its new version.
        duration_ms : float
            Time within which the transfer completes or is rolled back.

        Returns
        -------
        Result
            ``accepted``, or ``conflict`` while another transfer of the
            service is running.
        """
        entry = StartTransfer(
            service=service,
            version=version,
            duration_ms=duration_ms,
            at_s=time.time(),
        )
        answer = await self._propose(entry)
        if answer.is_error():
            return Error(answer.error)
        _LOG.info(
            'transfer ordered',
            extra={
                'service': service,
                'version': version,
                'outcome': answer.ok.status,
            },
        )
        return Ok(answer.ok.status)

    async def read_transfer(
        self,
        service: str,
    ) -> Result[Transfer | None, OperationError]:
        """Return the latest transfer of a service, None if it has none."""
        confirmed = await self._confirm()
        if confirmed.is_error():
            return Error(confirmed.error)
        return Ok(self._store.state.transfers.get(service))

    def _edit(
        self,
        table: RoutingTable,
        base: int,
        digest: str,
        document: bytes,
    ) -> PublishTable | ChangeTable:
        """Return the entry of an edit, the smaller one where it applies."""
        state = self._store.state
        packed = encode_packed(encode_table(table))
        if not base or base != state.number:
            return PublishTable(
                number=table.number,
                base=base,
                digest=digest,
                packed=compress_bytes(packed),
                document=compress_bytes(document),
            )
        return ChangeTable(
            number=table.number,
            base=base,
            base_index=state.table_index,
            digest=digest,
            packed=compress_change(packed, decompress_bytes(state.packed)),
            document=compress_change(
                document, decompress_bytes(state.document)
            ),
        )

    async def _propose(
        self,
        entry: Record,
    ) -> Result[MeshAnswer, OperationError]:
        if not self._log.is_leader:
            return Error(self._error('this instance is not the leader'))
        try:
            async with asyncio.timeout(PROPOSE_TIMEOUT_S):
                outcome = await asyncio.shield(
                    self._log.propose(encode_frame(entry)),
                )
        except TimeoutError:
            return Error(
                self._unavailable('no quorum answered before the timeout')
            )
        if outcome.is_error():
            return Error(self._proposal_error(outcome.error))
        answer = outcome.ok.answer
        assert isinstance(answer, MeshAnswer)
        return Ok(answer)

    async def _confirm(self) -> Result[int, OperationError]:
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

    def _outcome(self, status: str, findings: list[Finding]) -> PublishOutcome:
        return PublishOutcome(
            status=status,
            number=self._store.state.number,
            findings=findings,
        )


def _log_edit(
    table: RoutingTable,
    base: int,
    outcome: str,
    reason: str,
) -> None:
    _LOG.info(
        'table edited',
        extra={
            'number': table.number,
            'base': base,
            'outcome': outcome,
            'reason': reason,
        },
    )

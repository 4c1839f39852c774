"""Operations that a control instance of a mesh offers to operators."""

import logging
import time
from typing import Final

import xxhash
from expression import Error, Ok, Result
from mustardspur_core.compression import (
    compress_bytes,
    compress_change,
    decompress_bytes,
)
from mustardspur_core.findings import Finding
from mustardspur_core.large_documents import run_large
from mustardspur_core.mesh.checks import check_table
from mustardspur_core.mesh.entries import (
    ChangeTable,
    PublishTable,
    StartTransfer,
)
from mustardspur_core.mesh.model import RoutingTable, Transfer
from mustardspur_core.mesh.packing import encode_packed, encode_table
from mustardspur_core.record import Record

from mustardspur_control.mesh.log_access import LogAccess, OperationError
from mustardspur_control.mesh.store import INVALID, MeshStore

_LOG: Final = logging.getLogger(__name__)


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


class _Base(Record):
    """The table in force at one moment, see `MeshState`."""

    __slots__ = ('number', 'index', 'packed', 'document')
    number: int
    index: int
    packed: bytes
    document: bytes


class MeshOperations:
    """Edits and linearizable reads of the replicated state.

    Parameters
    ----------
    access : LogAccess
        Commits the edits and confirms the reads.
    store : MeshStore
        The applied state.
    """

    __slots__ = ('_access', '_read_index', '_read_table', '_store')

    def __init__(self, access: LogAccess, store: MeshStore) -> None:
        """Initialise the operations on a log and its applied state."""
        self._access = access
        self._store = store
        # Shared by all readers, since a document may have several megabytes.
        self._read_table: PublishedTable | None = None
        self._read_index = 0

    def refusal(self) -> OperationError | None:
        """Return the error of an edit if this instance does not lead."""
        return self._access.refusal()

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
        findings = await run_large(len(document), check_table, table)
        if findings and digest not in self._store.state.accepted:
            _log_edit(table, base, INVALID, str(findings[0]))
            return Ok(self._outcome(INVALID, findings))
        entry = await run_large(
            len(document),
            _edit,
            table,
            base,
            digest,
            document,
            self._base(),
        )
        answer = await self._access.propose(entry)
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
        confirmed = await self._access.confirm()
        if confirmed.is_error():
            return Error(confirmed.error)
        return Ok(self._published_table())

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
        answer = await self._access.propose(entry)
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
        confirmed = await self._access.confirm()
        if confirmed.is_error():
            return Error(confirmed.error)
        return Ok(self._store.state.transfers.get(service))

    def _published_table(self) -> PublishedTable | None:
        state = self._store.state
        if self._read_index != state.table_index:
            self._read_index = state.table_index
            self._read_table = PublishedTable(
                number=state.number,
                document=decompress_bytes(state.document),
            )
        return self._read_table

    def _base(self) -> '_Base':
        state = self._store.state
        return _Base(
            number=state.number,
            index=state.table_index,
            packed=state.packed,
            document=state.document,
        )

    def _outcome(self, status: str, findings: list[Finding]) -> PublishOutcome:
        return PublishOutcome(
            status=status,
            number=self._store.state.number,
            findings=findings,
        )


def _edit(
    table: RoutingTable,
    number: int,
    digest: str,
    document: bytes,
    base: _Base,
) -> PublishTable | ChangeTable:
    """Return the entry of an edit, the smaller one where it applies.

    Parameters
    ----------
    table : RoutingTable
        The new table.
    number : int
        Number of the table that it is based on, 0 for none.
    digest : str
        Digest of the edit.
    document : bytes
        The table as the operator sent it.
    base : _Base
        The table in force.
    """
    packed = encode_packed(encode_table(table))
    if not number or number != base.number:
        return PublishTable(
            number=table.number,
            base=number,
            digest=digest,
            packed=compress_bytes(packed),
            document=compress_bytes(document),
        )
    return ChangeTable(
        number=table.number,
        base=number,
        base_index=base.index,
        digest=digest,
        packed=compress_change(packed, decompress_bytes(base.packed)),
        document=compress_change(document, decompress_bytes(base.document)),
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

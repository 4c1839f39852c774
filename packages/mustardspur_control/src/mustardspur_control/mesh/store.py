"""The replicated state of a mesh."""

from collections.abc import Callable
from typing import Any, Final, TypeVar

import msgpack
from mustardspur_core.conversion import decode_row, encode_row
from mustardspur_core.mesh.entries import (
    MeshAnswer,
    PublishTable,
    SetBaseVersion,
    StartTransfer,
    StepTransfer,
)
from mustardspur_core.mesh.model import Transfer, TransferState
from mustardspur_core.record import Record
from mustardspur_core.wire import MalformedFrame, decode_frame

# A resend of an edit is recognised among this many accepted ones.
MAX_ACCEPTED: Final = 20_000
# An order for a finished transfer is taken for a resend within this time.
RESEND_S: Final = 10.0

ACCEPTED: Final = 'accepted'
CONFLICT: Final = 'conflict'
INVALID: Final = 'invalid'

_EntryT = TypeVar('_EntryT', bound=Record)
_appliers_by_type: dict[type[Record], Callable[..., MeshAnswer]] = {}


class MeshState(Record):
    """Everything that the log has agreed on.

    Parameters
    ----------
    index : int
        Log index of the last applied entry.
    table_index : int
        Log index of the table in force, 0 for none.
    accepted : dict of int
        Digests of accepted tables with their numbers, oldest first.
    started_at : dict of float
        Wall clock of the order of each transfer, by service.
    """

    __slots__ = (
        'index',
        'number',
        'table_index',
        'packed',
        'document',
        'accepted',
        'transfers',
        'started_at',
        'base_versions',
    )
    index: int
    number: int
    table_index: int
    packed: bytes
    document: bytes
    accepted: dict[str, int]
    transfers: dict[str, Transfer]
    started_at: dict[str, float]
    base_versions: dict[str, str]


def empty_state() -> MeshState:
    """Return the state before the first entry."""
    return MeshState(
        index=0,
        number=0,
        table_index=0,
        packed=b'',
        document=b'',
        accepted={},
        transfers={},
        started_at={},
        base_versions={},
    )


def applies(
    entry_type: type[_EntryT],
) -> Callable[
    [Callable[[MeshState, _EntryT], MeshAnswer]],
    Callable[[MeshState, _EntryT], MeshAnswer],
]:
    """Register the function that applies a type of entry."""

    def decorator(
        apply: Callable[[MeshState, _EntryT], MeshAnswer],
    ) -> Callable[[MeshState, _EntryT], MeshAnswer]:
        _appliers_by_type[entry_type] = apply
        return apply

    return decorator


class MeshStore:
    """Applied state of one control instance; a `StateMachine` of the log.

    Explanation
    ===========

    Applying the same entries gives the same state everywhere: no clock,
    random number or other outside input is read.
    """

    __slots__ = ('_callbacks', 'state')

    def __init__(self) -> None:
        """Start with nothing applied."""
        self.state = empty_state()
        self._callbacks: list[Callable[[], None]] = []

    def apply(self, index: int, entry: bytes) -> MeshAnswer:
        """Apply a committed entry and return its answer.

        An entry that cannot be decoded has no effect but an answer, so that
        every replica goes on in the same way.
        """
        try:
            body = decode_frame(entry).body
        except MalformedFrame:
            return answer(self.state, INVALID)
        return self.apply_body(index, body)

    def apply_body(self, index: int, body: Record) -> MeshAnswer:
        """Apply a committed entry that is decoded already."""
        apply = _appliers_by_type.get(type(body))
        if apply is None:
            return answer(self.state, INVALID)
        self.state.index = index
        outcome = apply(self.state, body)
        self._notify()
        return outcome

    def snapshot(self) -> bytes:
        """Return the whole state as msgpack."""
        packed: bytes = msgpack.packb(encode_row(self.state))
        return packed

    def restore(self, index: int, snapshot: bytes) -> None:
        """Replace the whole state by a snapshot taken at an index."""
        row: Any = msgpack.unpackb(snapshot, raw=False)
        self.state = decode_row(MeshState, row)
        self.state.index = index
        self._notify()

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call back after each change."""
        self._callbacks.append(callback)

    def _notify(self) -> None:
        for callback in self._callbacks:
            callback()


def answer(state: MeshState, status: str) -> MeshAnswer:
    """Return an answer with the number in force."""
    return MeshAnswer(status=status, number=state.number)


@applies(PublishTable)
def apply_publish(state: MeshState, entry: PublishTable) -> MeshAnswer:
    """Put a table in force if it builds on the one in force."""
    if entry.digest in state.accepted:
        return answer(state, ACCEPTED)
    if entry.base != state.number:
        return answer(state, CONFLICT)
    if entry.number <= state.number:
        return answer(state, INVALID)
    state.number = entry.number
    state.table_index = state.index
    state.packed = entry.packed
    state.document = entry.document
    state.accepted[entry.digest] = entry.number
    if len(state.accepted) > MAX_ACCEPTED:
        state.accepted.pop(next(iter(state.accepted)))
    return answer(state, ACCEPTED)


@applies(StartTransfer)
def apply_start(state: MeshState, entry: StartTransfer) -> MeshAnswer:
    """Start a transfer unless it is known or another one is running."""
    known = state.transfers.get(entry.service)
    if known is not None and _is_resend(state, known, entry):
        return answer(state, ACCEPTED)
    if known is not None and known.state == TransferState.RUNNING:
        return answer(state, CONFLICT)
    state.transfers[entry.service] = Transfer(
        service=entry.service,
        version=entry.version,
        from_version=state.base_versions.get(entry.service, ''),
        duration_ms=entry.duration_ms,
        state=TransferState.RUNNING.value,
        share=0,
        elapsed_ms=0,
        step=0,
    )
    state.started_at[entry.service] = entry.at_s
    return answer(state, ACCEPTED)


@applies(StepTransfer)
def apply_step(state: MeshState, entry: StepTransfer) -> MeshAnswer:
    """Take over a step that follows the latest one."""
    known = state.transfers.get(entry.service)
    if known is None or not _follows(known, entry):
        return answer(state, CONFLICT)
    known.state = entry.state
    known.share = entry.share
    known.elapsed_ms = entry.elapsed_ms
    known.step += 1
    if entry.state == TransferState.COMPLETED:
        state.base_versions[entry.service] = entry.version
    return answer(state, ACCEPTED)


@applies(SetBaseVersion)
def apply_base(state: MeshState, entry: SetBaseVersion) -> MeshAnswer:
    """Record the version of a service that has none yet."""
    state.base_versions.setdefault(entry.service, entry.version)
    transfer = state.transfers.get(entry.service)
    if transfer is not None and not transfer.from_version:
        transfer.from_version = state.base_versions[entry.service]
    return answer(state, ACCEPTED)


def _is_resend(
    state: MeshState,
    known: Transfer,
    entry: StartTransfer,
) -> bool:
    if known.version != entry.version:
        return False
    age_s = entry.at_s - state.started_at[entry.service]
    return known.state == TransferState.RUNNING or age_s < RESEND_S


def _follows(known: Transfer, entry: StepTransfer) -> bool:
    return (
        known.version == entry.version
        and known.step == entry.expected_step
        and known.state == TransferState.RUNNING
    )

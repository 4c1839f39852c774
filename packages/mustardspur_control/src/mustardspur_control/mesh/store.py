"""Replicated state of a mesh: table, transfers, versions, evacuations."""

from collections.abc import Callable
from types import MappingProxyType
from typing import Any, ClassVar, Final, TypeVar

import msgpack
from mustardspur_core.compression import apply_change
from mustardspur_core.conversion import decode_array, encode_array
from mustardspur_core.mesh.entries import (
    ChangeTable,
    MeshAnswer,
    PublishTable,
    SetBaseVersion,
    StartTransfer,
    StepTransfer,
)
from mustardspur_core.mesh.model import Transfer, TransferState
from mustardspur_core.record import Defaults, Record
from mustardspur_core.wire import MalformedFrame, decode_frame

# Number of the latest accepted edits among which a retry is recognised.
MAX_ACCEPTED_DIGESTS: Final = 20_000
# Number of the latest versions of a service that stay rolled back.
MAX_ROLLED_BACK: Final = 16
# A repeated order of a finished transfer counts as a retry within this time.
RETRY_WINDOW_S: Final = 10.0

ACCEPTED: Final = 'accepted'
CONFLICT: Final = 'conflict'
INVALID: Final = 'invalid'

_EntryT = TypeVar('_EntryT', bound=Record)
_appliers_by_type: dict[type[Record], Callable[..., MeshAnswer]] = {}


class MeshState(Record):
    """State that results from the committed entries.

    Parameters
    ----------
    index : int
        Log index of the last applied entry.
    number : int
        Number of the table in force, 0 for none.
    table_index : int
        Log index of the table in force, 0 for none.
    packed : bytes
        The table in force, as `pack_table` returns it.
    document : bytes
        The operator's document of the table in force, compressed.
    accepted : dict of int
        Numbers of accepted tables by digest, oldest first.
    transfers : dict of Transfer
        Latest transfer of each service.
    started_at : dict of float
        Wall clock time of the order of each transfer in seconds, by service.
    base_versions : dict of str
        Version of each service outside of a transfer.
    evacuated : list of str
        Names of the evacuated data centres, sorted.
    lifted : dict of int
        Log index of the latest lift of each call's block, oldest first, by
        the fingerprint in hexadecimal digits.
    rolled_back : dict of list of str
        Versions of each service that were rolled back and not ordered since,
        oldest first.
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
        'evacuated',
        'lifted',
        'rolled_back',
    )
    optional: ClassVar[Defaults] = MappingProxyType(
        {'evacuated': list, 'lifted': dict, 'rolled_back': dict},
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
    evacuated: list[str]
    lifted: dict[str, int]
    rolled_back: dict[str, list[str]]


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
        evacuated=[],
        lifted={},
        rolled_back={},
    )


def register_applier(
    entry_type: type[_EntryT],
) -> Callable[
    [Callable[[MeshState, _EntryT], MeshAnswer]],
    Callable[[MeshState, _EntryT], MeshAnswer],
]:
    """Return a decorator that registers a function for a type of entry.

    The function applies an entry to the state and returns the answer.
    """

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

    Entries are applied deterministically: no clock, random number or other
    external input is read, so that all replicas reach the same state.
    """

    __slots__ = ('_callbacks', 'state')

    def __init__(self) -> None:
        """Initialise the store with the empty state."""
        self.state = empty_state()
        self._callbacks: list[Callable[[], None]] = []

    def apply(self, index: int, entry: bytes) -> MeshAnswer:
        """Apply a committed entry and return its answer.

        An entry that cannot be decoded is answered as ``invalid`` and leaves
        the state unchanged, so that every replica continues identically.
        """
        try:
            body = decode_frame(entry).body
        except MalformedFrame:
            return answer(self.state, INVALID)
        return self.apply_body(index, body)

    def apply_body(self, index: int, body: Record) -> MeshAnswer:
        """Apply a committed entry that has been decoded."""
        apply = _appliers_by_type.get(type(body))
        if apply is None:
            return answer(self.state, INVALID)
        self.state.index = index
        outcome = apply(self.state, body)
        self._notify()
        return outcome

    def snapshot(self) -> bytes:
        """Return the whole state as msgpack."""
        packed: bytes = msgpack.packb(encode_array(self.state))
        return packed

    def restore(self, index: int, snapshot: bytes) -> None:
        """Replace the whole state by a snapshot taken at an index."""
        fields: Any = msgpack.unpackb(snapshot, raw=False)
        self.state = decode_array(MeshState, fields)
        self.state.index = index
        self._notify()

    def on_change(self, callback: Callable[[], None]) -> None:
        """Register a callback that runs after each applied entry or restore."""
        self._callbacks.append(callback)

    def _notify(self) -> None:
        for callback in self._callbacks:
            callback()


def answer(state: MeshState, status: str) -> MeshAnswer:
    """Return an answer with the number of the table in force."""
    return MeshAnswer(status=status, number=state.number)


@register_applier(PublishTable)
def apply_publish_table(state: MeshState, entry: PublishTable) -> MeshAnswer:
    """Replace the table if the entry is based on the table in force.

    An entry whose digest has been accepted before is a retry: it is accepted
    again without effect.
    """
    settled = _settled_status(state, entry)
    if settled is not None:
        return answer(state, settled)
    _replace_table(state, entry, entry.packed, entry.document)
    return answer(state, ACCEPTED)


@register_applier(ChangeTable)
def apply_change_table(state: MeshState, entry: ChangeTable) -> MeshAnswer:
    """Change the table if it is the one that the entry is based on.

    A retry is recognised as in `apply_publish_table`.
    """
    settled = _settled_status(state, entry)
    if settled is not None:
        return answer(state, settled)
    if entry.base_index != state.table_index:
        return answer(state, CONFLICT)
    try:
        packed = apply_change(state.packed, entry.packed)
        document = apply_change(state.document, entry.document)
    except ValueError:
        return answer(state, INVALID)
    _replace_table(state, entry, packed, document)
    return answer(state, ACCEPTED)


@register_applier(StartTransfer)
def apply_start_transfer(state: MeshState, entry: StartTransfer) -> MeshAnswer:
    """Start a transfer unless another one of the service is running.

    A retry of the latest order is accepted without effect.
    """
    latest = state.transfers.get(entry.service)
    if latest is not None and _is_retry(state, latest, entry):
        return answer(state, ACCEPTED)
    if latest is not None and latest.state == TransferState.RUNNING:
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
    rolled_back = state.rolled_back.pop(entry.service, [])
    others = [each for each in rolled_back if each != entry.version]
    if others:
        state.rolled_back[entry.service] = others
    return answer(state, ACCEPTED)


@register_applier(StepTransfer)
def apply_step_transfer(state: MeshState, entry: StepTransfer) -> MeshAnswer:
    """Apply a step that follows the latest step of a running transfer."""
    transfer = state.transfers.get(entry.service)
    if transfer is None or not _is_next_step(transfer, entry):
        return answer(state, CONFLICT)
    transfer.state = entry.state
    transfer.share = entry.share
    transfer.elapsed_ms = entry.elapsed_ms
    transfer.step += 1
    if entry.state == TransferState.COMPLETED:
        state.base_versions[entry.service] = entry.version
    elif entry.state == TransferState.ROLLED_BACK:
        rolled_back = state.rolled_back.get(entry.service, [])
        latest = [*rolled_back, entry.version][-MAX_ROLLED_BACK:]
        state.rolled_back[entry.service] = latest
    return answer(state, ACCEPTED)


@register_applier(SetBaseVersion)
def apply_base_version(state: MeshState, entry: SetBaseVersion) -> MeshAnswer:
    """Set the base version of a service that has none yet."""
    state.base_versions.setdefault(entry.service, entry.version)
    transfer = state.transfers.get(entry.service)
    if transfer is not None and not transfer.from_version:
        transfer.from_version = state.base_versions[entry.service]
    return answer(state, ACCEPTED)


def _settled_status(
    state: MeshState,
    entry: PublishTable | ChangeTable,
) -> str | None:
    """Return the status of an edit that has no effect, None for others."""
    if entry.digest in state.accepted:
        return ACCEPTED
    if entry.base != state.number:
        return CONFLICT
    if entry.number <= state.number:
        return INVALID
    return None


def _replace_table(
    state: MeshState,
    entry: PublishTable | ChangeTable,
    packed: bytes,
    document: bytes,
) -> None:
    state.number = entry.number
    state.table_index = state.index
    state.packed = packed
    state.document = document
    state.accepted[entry.digest] = entry.number
    if len(state.accepted) > MAX_ACCEPTED_DIGESTS:
        state.accepted.pop(next(iter(state.accepted)))


def _is_retry(
    state: MeshState,
    latest: Transfer,
    entry: StartTransfer,
) -> bool:
    if latest.version != entry.version:
        return False
    age_s = entry.at_s - state.started_at[entry.service]
    return latest.state == TransferState.RUNNING or age_s < RETRY_WINDOW_S


def _is_next_step(transfer: Transfer, entry: StepTransfer) -> bool:
    return (
        transfer.version == entry.version
        and transfer.step == entry.expected_step
        and transfer.state == TransferState.RUNNING
    )

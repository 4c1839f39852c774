"""Tests of the replicated state of a mesh."""

import random
from typing import Any

import pytest
import xxhash
from mustardspur_control.mesh.store import MAX_ROLLED_BACK, MeshStore
from mustardspur_core.compression import (
    compress_bytes,
    compress_change,
    decompress_bytes,
)
from mustardspur_core.mesh.entries import (
    ChangeTable,
    PublishTable,
    SetBaseVersion,
    StartTransfer,
    StepTransfer,
)
from mustardspur_core.record import Record, replaced
from mustardspur_core.wire import encode_frame


class _Log:
    """Applies entries under rising indexes."""

    def __init__(self) -> None:
        self.store = MeshStore()
        self.index = 0

    def apply(self, entry: Record) -> str:
        self.index += 1
        return self.store.apply(self.index, encode_frame(entry)).status


def _publish(number: int, base: int, digest: str) -> PublishTable:
    return PublishTable(
        number=number,
        base=base,
        digest=digest,
        packed=digest.encode(),
        document=digest.encode(),
    )


def _order(at_s: float = 100.0, **changes: Any) -> StartTransfer:
    fields: dict[str, Any] = {
        'service': 'forms',
        'version': 'v2',
        'duration_ms': 12_000.0,
        'at_s': at_s,
    }
    return StartTransfer(**(fields | changes))


def _step(expected: int, state: str, share: float) -> StepTransfer:
    return StepTransfer(
        service='forms',
        version='v2',
        expected_step=expected,
        state=state,
        share=share,
        elapsed_ms=1000.0,
    )


def test_one_of_two_concurrent_edits_is_accepted() -> None:
    """Two edits that are based on the same table are not both accepted."""
    log = _Log()
    assert log.apply(_publish(3, 0, 'one')) == 'accepted'
    assert log.apply(_publish(3, 0, 'two')) == 'conflict'
    assert log.store.state.document == b'one'


def test_retry_of_an_edit_is_accepted() -> None:
    """An edit whose answer was lost is accepted again without effect.

    A retry is recognised by its digest, since a concurrent edit may have the
    same number.
    """
    log = _Log()
    log.apply(_publish(3, 0, 'one'))
    log.apply(_publish(8, 3, 'two'))
    assert log.apply(_publish(3, 0, 'one')) == 'accepted'
    assert log.store.state.number == 8
    assert log.store.state.document == b'two'


def _change(log: _Log, number: int, document: bytes) -> ChangeTable:
    """Return a change of the table in force to a document."""
    state = log.store.state
    return ChangeTable(
        number=number,
        base=state.number,
        base_index=state.table_index,
        digest=xxhash.xxh3_128_hexdigest(document),
        packed=compress_change(document, decompress_bytes(state.packed)),
        document=compress_change(document, decompress_bytes(state.document)),
    )


def _log_with_table(document: bytes) -> _Log:
    log = _Log()
    entry = replaced(
        _publish(3, 0, 'one'),
        packed=compress_bytes(document),
        document=compress_bytes(document),
    )
    assert log.apply(entry) == 'accepted'
    return log


def test_change_yields_the_whole_document() -> None:
    """Guards against replicas whose documents differ from the edit, and
    against an entry that grows with the table.
    """
    document = random.Random(1).randbytes(100_000)
    log = _log_with_table(document)
    changed = b'changed'.join((document[:50_000], document[50_000:]))
    entry = _change(log, 8, changed)
    assert log.apply(entry) == 'accepted'
    assert decompress_bytes(log.store.state.document) == changed
    assert decompress_bytes(log.store.state.packed) == changed
    assert len(encode_frame(entry)) < 1000
    assert log.apply(entry) == 'accepted'


def test_change_of_another_table_has_no_effect() -> None:
    """Guards against a change that is applied to a table it is not based on,
    for example one of a rival with the same number.
    """
    log = _log_with_table(b'first document')
    rival = _change(log, 8, b'first document, edited')
    assert log.apply(_change(log, 8, b'first document, also')) == 'accepted'
    assert log.apply(rival) == 'conflict'
    moved = replaced(rival, base=8, number=9)
    assert log.apply(moved) == 'conflict'
    damaged = replaced(moved, base_index=log.store.state.table_index)
    assert log.apply(damaged) == 'invalid'
    document = decompress_bytes(log.store.state.document)
    assert document == b'first document, also'


def test_lower_number_is_refused() -> None:
    """The number of the table must increase."""
    log = _Log()
    log.apply(_publish(3, 0, 'one'))
    assert log.apply(_publish(3, 3, 'same')) == 'invalid'
    assert log.apply(_publish(2, 3, 'lower')) == 'invalid'
    assert log.store.state.number == 3


def test_snapshot_contains_accepted_edits() -> None:
    """A retry is recognised after a restart from a snapshot."""
    log = _Log()
    log.apply(_publish(3, 0, 'one'))
    log.apply(_order())
    restored = _Log()
    restored.store.restore(log.index, log.store.snapshot())
    restored.index = log.index
    assert restored.store.state == log.store.state
    assert restored.apply(_publish(3, 0, 'one')) == 'accepted'


def test_unreadable_entry_changes_nothing() -> None:
    """An entry that cannot be decoded does not stop a replica."""
    store = MeshStore()
    assert store.apply(1, b'no frame').status == 'invalid'
    assert store.state.table_index == 0


def test_retried_order_starts_one_transfer() -> None:
    """A retried order does not restart a finished transfer."""
    log = _Log()
    assert log.apply(_order(100.0)) == 'accepted'
    log.apply(_step(0, 'running', 0.5))
    assert log.apply(_order(101.0)) == 'accepted'
    assert log.store.state.transfers['forms'].share == pytest.approx(0.5)
    log.apply(_step(1, 'rolled_back', 0))
    assert log.apply(_order(103.0)) == 'accepted'
    assert log.store.state.transfers['forms'].state == 'rolled_back'
    assert log.apply(_order(200.0)) == 'accepted'
    assert log.store.state.transfers['forms'].state == 'running'


def test_second_transfer_of_a_service_is_refused() -> None:
    """A service has at most one running transfer."""
    log = _Log()
    log.apply(_order())
    assert log.apply(_order(version='v3')) == 'conflict'


def test_step_of_a_former_leader_has_no_effect() -> None:
    """A step that a replaced leader proposed is not applied."""
    log = _Log()
    log.apply(_order())
    log.apply(_step(0, 'rolled_back', 0))
    assert log.apply(_step(0, 'running', 1.0)) == 'conflict'
    assert log.apply(_step(1, 'running', 1.0)) == 'conflict'
    assert log.store.state.transfers['forms'].share == 0


def test_completed_version_becomes_the_base() -> None:
    """Calls do not return to the old targets after a completed transfer."""
    log = _Log()
    log.apply(SetBaseVersion(service='forms', version='v1'))
    log.apply(_order())
    assert log.store.state.transfers['forms'].from_version == 'v1'
    log.apply(_step(0, 'completed', 1.0))
    assert log.store.state.base_versions == {'forms': 'v2'}


def test_version_stays_rolled_back_until_it_is_ordered() -> None:
    """Guards against an order of the next version that undoes the roll-back of
    the one before.
    """
    log = _Log()
    log.apply(_order())
    log.apply(_step(0, 'rolled_back', 0))
    log.apply(_order(version='v3'))
    assert log.store.state.rolled_back == {'forms': ['v2']}
    restored = MeshStore()
    restored.restore(log.index, log.store.snapshot())
    assert restored.state == log.store.state
    log.apply(replaced(_step(0, 'completed', 1.0), version='v3'))
    assert log.store.state.rolled_back == {'forms': ['v2']}
    log.apply(_order(200.0))
    assert not log.store.state.rolled_back


def test_rolled_back_versions_are_bounded() -> None:
    """Guards against a state that grows with each bad version."""
    log = _Log()
    versions = [f'v{number}' for number in range(2 * MAX_ROLLED_BACK)]
    for version in versions:
        log.apply(_order(version=version))
        log.apply(replaced(_step(0, 'rolled_back', 0), version=version))
    latest = versions[-MAX_ROLLED_BACK:]
    assert log.store.state.rolled_back == {'forms': latest}

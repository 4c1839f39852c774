"""The leader's decisions on transfers."""

import asyncio
import logging
from collections.abc import Sequence
from typing import Final

from mustardspur_agreement import ReplicatedLog
from mustardspur_core.mesh.entries import (
    SetBaseVersion,
    StepTransfer,
)
from mustardspur_core.mesh.model import (
    MeshTarget,
    TargetState,
    Transfer,
    TransferState,
)
from mustardspur_core.record import Record
from mustardspur_core.settings import MeshSettings
from mustardspur_core.units import MS_PER_S
from mustardspur_core.wire import encode_frame

from mustardspur_control.mesh.evidence import EvidenceBook
from mustardspur_control.mesh.judging import Verdict, judge
from mustardspur_control.mesh.registry import MeshRegistry
from mustardspur_control.mesh.schedule import COMPLETE_AT, planned_share
from mustardspur_control.mesh.store import MeshStore

_LOG: Final = logging.getLogger(__name__)

CHECK_S: Final = 0.25
# Shares are moved in steps of at least this size, since each is an entry.
MIN_SHARE_STEP: Final = 0.02
# The time of a transfer is recorded at least this often, as a part of it, so
# that the next leader knows it.
PROGRESS_STEP: Final = 0.08
# Time that a new leader takes to be elected, in which no step is made.
ELECTION_MS: Final = 1000


class TransferDriver:
    """Steps the running transfers while this instance leads.

    Parameters
    ----------
    mesh : MeshSettings
        How many calls a bad version may get.
    log : ReplicatedLog
        Commits the steps.
    store : MeshStore
        The applied state.
    registry : MeshRegistry
        Targets by node.
    evidence : EvidenceBook
        Outcomes by version and route.
    """

    __slots__ = (
        '_clocks',
        '_evidence',
        '_log',
        '_mesh',
        '_registry',
        '_store',
    )

    def __init__(
        self,
        mesh: MeshSettings,
        log: ReplicatedLog,
        store: MeshStore,
        registry: MeshRegistry,
        evidence: EvidenceBook,
    ) -> None:
        """Start without a transfer."""
        self._mesh = mesh
        self._log = log
        self._store = store
        self._registry = registry
        self._evidence = evidence
        self._clocks: dict[str, tuple[str, float]] = {}

    async def run(self) -> None:
        """Check at an interval until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S)
            if self._log.is_leader:
                await self._record_base_versions()
                await asyncio.gather(
                    *(
                        self._step(transfer)
                        for transfer in self._store.state.transfers.values()
                    ),
                )
            else:
                self._clocks.clear()

    async def _record_base_versions(self) -> None:
        known = self._store.state.base_versions
        versions_by_service: dict[str, set[str]] = {}
        for row in self._registry.by_node.values():
            if row.id and row.service not in known:
                versions = versions_by_service.setdefault(row.service, set())
                versions.add(row.version)
        entries = [
            self._base_version(service, versions)
            for service, versions in versions_by_service.items()
        ]
        await self._propose_all([each for each in entries if each])

    def _base_version(
        self,
        service: str,
        versions: set[str],
    ) -> SetBaseVersion | None:
        transfer = self._store.state.transfers.get(service)
        if transfer is not None:
            versions.discard(transfer.version)
        if len(versions) != 1:
            return None
        return SetBaseVersion(service=service, version=versions.pop())

    async def _propose_all(self, entries: Sequence[Record]) -> None:
        await asyncio.gather(*(self._propose(entry) for entry in entries))

    async def _step(self, transfer: Transfer) -> None:
        if transfer.state != TransferState.RUNNING:
            if self._clocks.pop(transfer.service, None) is not None:
                self._evidence.forget(transfer.service)
            return
        elapsed_ms = self._elapsed_ms(transfer)
        progress = elapsed_ms / max(transfer.duration_ms, 1)
        step = self._decide(transfer, progress)
        if step is None:
            return
        state, share = step
        await self._propose(
            StepTransfer(
                service=transfer.service,
                version=transfer.version,
                expected_step=transfer.step,
                state=state,
                share=share,
                elapsed_ms=elapsed_ms,
            ),
        )

    def _decide(
        self,
        transfer: Transfer,
        progress: float,
    ) -> tuple[str, float] | None:
        verdict = self._verdict(transfer)
        if verdict.bad:
            _log_decision(transfer, 'rolled back', verdict, progress)
            return TransferState.ROLLED_BACK.value, 0
        if progress >= 1:
            _log_decision(
                transfer, 'rolled back at its time', verdict, progress
            )
            return TransferState.ROLLED_BACK.value, 0
        if progress >= COMPLETE_AT and transfer.share >= 1:
            _log_decision(transfer, 'completed', verdict, progress)
            return TransferState.COMPLETED.value, 1.0
        share = min(
            planned_share(
                progress,
                verdict.runs,
                self._mesh.exposure_share,
            ),
            self._possible_share(transfer),
        )
        if share >= transfer.share + MIN_SHARE_STEP:
            _log_decision(transfer, f'share {share:.2f}', verdict, progress)
            return TransferState.RUNNING.value, share
        if progress - _last_progress(transfer) >= PROGRESS_STEP:
            return TransferState.RUNNING.value, transfer.share
        return None

    def _verdict(self, transfer: Transfer) -> Verdict:
        whole = judge(
            self._evidence.totals(transfer.service),
            transfer.version,
        )
        recent = judge(
            self._evidence.recent(transfer.service),
            transfer.version,
        )
        return recent if recent.bad else whole

    def _possible_share(self, transfer: Transfer) -> float:
        """Return the share for which the new version has targets."""
        new = self._ready_slots(transfer, new=True)
        old = self._ready_slots(transfer, new=False)
        if not new:
            return 0
        return min(1.0, new / max(old, 1))

    def _ready_slots(self, transfer: Transfer, *, new: bool) -> int:
        return sum(
            row.slots
            for row in self._registry.by_node.values()
            if _is_ready(row, transfer.service)
            and (row.version == transfer.version) is new
        )

    def _elapsed_ms(self, transfer: Transfer) -> float:
        """Return the time since the order, by the steady clock.

        A new leader goes on from the time at the latest step and adds the
        time of an election, since it is better early than late.
        """
        now_s = asyncio.get_running_loop().time()
        version, began_s = self._clocks.get(transfer.service, ('', 0))
        if version != transfer.version:
            elapsed_ms = transfer.elapsed_ms
            if transfer.step:
                elapsed_ms += ELECTION_MS
            began_s = now_s - elapsed_ms / MS_PER_S
            self._clocks[transfer.service] = (transfer.version, began_s)
        return (now_s - began_s) * MS_PER_S

    async def _propose(self, entry: Record) -> None:
        outcome = await self._log.propose(encode_frame(entry))
        if outcome.is_error():
            _LOG.warning(
                'step not committed',
                extra={
                    'entry': type(entry).__name__,
                    'reason': outcome.error.detail,
                },
            )


def _last_progress(transfer: Transfer) -> float:
    return transfer.elapsed_ms / max(transfer.duration_ms, 1)


def _is_ready(row: MeshTarget, service: str) -> bool:
    return row.service == service and row.state == TargetState.READY


def _log_decision(
    transfer: Transfer,
    decision: str,
    verdict: Verdict,
    progress: float,
) -> None:
    _LOG.info(
        'transfer decided',
        extra={
            'service': transfer.service,
            'version': transfer.version,
            'decision': decision,
            'reason': verdict.reason,
            'runs': verdict.runs,
            'progress': round(progress, 3),
        },
    )

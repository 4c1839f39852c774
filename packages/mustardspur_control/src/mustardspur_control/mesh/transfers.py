"""Progress of transfers, decided by the leader."""

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
    MeshTargetState,
    Transfer,
    TransferState,
)
from mustardspur_core.record import Record, replaced
from mustardspur_core.settings import MeshSettings
from mustardspur_core.units import MS_PER_S
from mustardspur_core.wire import encode_frame

from mustardspur_control.mesh.concurrent_failures import ConcurrentFailures
from mustardspur_control.mesh.evaluation import TransferVerdict, evaluate
from mustardspur_control.mesh.evidence import EvidenceAggregator
from mustardspur_control.mesh.evidence_summary import summarize
from mustardspur_control.mesh.registry import MeshRegistry
from mustardspur_control.mesh.schedule import COMPLETION_PROGRESS, planned_share
from mustardspur_control.mesh.store import MeshStore

_LOG: Final = logging.getLogger(__name__)

CHECK_INTERVAL_S: Final = 0.2
# Runs of a version that must become known between two raises of its share.
MIN_RUNS_AT_SHARE: Final = 3
# At the full share a version is compared only while runs of the others have
# ended within this time.
COMPARED_S: Final = 1.0
# Smaller raises of a share are skipped, since each step is a log entry.
MIN_SHARE_STEP: Final = 0.02
# Part of a transfer's duration after which its elapsed time is recorded even
# if the share stays, so that the next leader continues from it.
MIN_PROGRESS_STEP: Final = 0.04
# Estimated duration of an election, in which no step is recorded.
ELECTION_MS: Final = 1000


class TransferDriver:
    """Advances the running transfers while this instance is the leader.

    Parameters
    ----------
    mesh : MeshSettings
        Settings of the mesh; ``exposure_share`` limits the calls that a
        faulty version may receive.
    log : ReplicatedLog
        Log that commits the steps.
    store : MeshStore
        The applied state.
    registry : MeshRegistry
        Registrations of targets by node.
    evidence : EvidenceAggregator
        Outcomes of calls by version and route.
    """

    __slots__ = (
        '_concurrent',
        '_evidence',
        '_log',
        '_mesh',
        '_registry',
        '_runs_by_share',
        '_starts_by_service',
        '_store',
    )

    def __init__(
        self,
        mesh: MeshSettings,
        log: ReplicatedLog,
        store: MeshStore,
        registry: MeshRegistry,
        evidence: EvidenceAggregator,
    ) -> None:
        """Initialise the driver without a start time of any transfer."""
        self._mesh = mesh
        self._log = log
        self._store = store
        self._registry = registry
        self._evidence = evidence
        self._starts_by_service: dict[str, tuple[str, float]] = {}
        # By service and version.
        self._concurrent: dict[tuple[str, str], ConcurrentFailures] = {}
        # Runs that were known when a share was first seen, by transfer.
        self._runs_by_share: dict[tuple[str, str], tuple[float, int]] = {}

    async def run(self) -> None:
        """Check all transfers at an interval until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._log.is_leader:
                await self._record_base_versions()
                await asyncio.gather(
                    *(
                        self._step(transfer)
                        for transfer in self._store.state.transfers.values()
                    ),
                )
            else:
                self._starts_by_service.clear()
                self._runs_by_share.clear()
                self._concurrent.clear()
                self._evidence.clear()

    async def _record_base_versions(self) -> None:
        base_versions = self._store.state.base_versions
        versions_by_service: dict[str, set[str]] = {}
        for target in self._registry.by_node.values():
            if target.id and target.service not in base_versions:
                versions = versions_by_service.setdefault(target.service, set())
                versions.add(target.version)
        entries = [
            self._base_version(service, versions)
            for service, versions in versions_by_service.items()
        ]
        await self._propose_concurrently([each for each in entries if each])

    def _base_version(
        self,
        service: str,
        versions: set[str],
    ) -> SetBaseVersion | None:
        transfer = self._store.state.transfers.get(service)
        if transfer is not None:
            versions.discard(transfer.version)
        versions.difference_update(
            self._store.state.rolled_back.get(service, []),
        )
        if len(versions) != 1:
            return None
        return SetBaseVersion(service=service, version=versions.pop())

    async def _propose_concurrently(self, entries: Sequence[Record]) -> None:
        await asyncio.gather(*(self._propose(entry) for entry in entries))

    async def _step(self, transfer: Transfer) -> None:
        if transfer.state != TransferState.RUNNING:
            key = (transfer.service, transfer.version)
            self._runs_by_share.pop(key, None)
            self._concurrent.pop(key, None)
            if self._starts_by_service.pop(transfer.service, None) is not None:
                self._evidence.remove_service(transfer.service)
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
        if verdict.is_faulty:
            self._log_decision(transfer, 'rolled back', verdict, progress)
            return TransferState.ROLLED_BACK.value, 0
        if progress >= 1:
            self._log_decision(
                transfer, 'rolled back at its deadline', verdict, progress
            )
            return TransferState.ROLLED_BACK.value, 0
        if progress >= COMPLETION_PROGRESS and transfer.share >= 1:
            self._log_decision(transfer, 'completed', verdict, progress)
            return TransferState.COMPLETED.value, 1.0
        share = min(
            planned_share(
                progress,
                verdict.answered_calls,
                self._mesh.exposure_share,
            ),
            self._max_share_by_slots(transfer),
        )
        runs_at_share = self._runs_at_share(transfer, verdict.answered_calls)
        # Reports that are lost on their way show no fault either.
        is_known = not transfer.share or runs_at_share >= MIN_RUNS_AT_SHARE
        if is_known and share >= transfer.share + MIN_SHARE_STEP:
            self._log_decision(
                transfer, f'share {share:.2f}', verdict, progress
            )
            return TransferState.RUNNING.value, share
        if progress - _recorded_progress(transfer) >= MIN_PROGRESS_STEP:
            self._log_decision(transfer, 'share unchanged', verdict, progress)
            return TransferState.RUNNING.value, transfer.share
        return None

    def _runs_at_share(self, transfer: Transfer, runs: int) -> int:
        """Return how many runs became known since the last raise.

        Parameters
        ----------
        transfer : Transfer
            A running transfer.
        runs : int
            Known runs of its version.
        """
        key = (transfer.service, transfer.version)
        known = self._runs_by_share.get(key)
        if known is None or known[0] != transfer.share:
            known = (transfer.share, runs)
            self._runs_by_share[key] = known
        return runs - known[1]

    def _verdict(self, transfer: Transfer) -> TransferVerdict:
        service, version = transfer.service, transfer.version
        totals = self._evidence.totals(service)
        concurrent = self._concurrent.setdefault(
            (service, version), ConcurrentFailures(version)
        )
        concurrent.observe(asyncio.get_running_loop().time(), totals)
        overall = evaluate(
            totals, version, expected_failures=concurrent.overall()
        )
        recent = evaluate(
            self._evidence.recent(service),
            version,
            totals,
            expected_failures=concurrent.recent(),
        )
        verdict = recent if recent.is_faulty else overall
        if transfer.share < 1 or self._evidence.other_runs(
            service, version, COMPARED_S
        ):
            return verdict
        # Failures that begin at the full share may be those of any version.
        return replaced(verdict, is_faulty=False)

    def _log_decision(
        self,
        transfer: Transfer,
        decision: str,
        verdict: TransferVerdict,
        progress: float,
    ) -> None:
        service, version = transfer.service, transfer.version
        report_ages_s = self._evidence.report_ages_s(service)
        _LOG.info(
            'transfer decided',
            extra={
                'service': service,
                'version': version,
                'decision': decision,
                'reason': verdict.reason,
                'runs': verdict.answered_calls,
                'progress': round(progress, 3),
                'reports': len(report_ages_s),
                'oldest_report_s': round(max(report_ages_s, default=0), 1),
                'evidence': summarize(self._evidence.totals(service), version),
            },
        )

    def _max_share_by_slots(self, transfer: Transfer) -> float:
        """Return the highest share that the new version has slots for."""
        service = transfer.service
        rolled_back = self._store.state.rolled_back.get(service, [])
        new = 0
        old = 0
        for target in self._registry.by_node.values():
            if not _is_ready(target, service):
                continue
            if target.version == transfer.version:
                new += target.slots
            elif target.version not in rolled_back:
                old += target.slots
        if not new:
            return 0
        return min(1.0, new / max(old, 1))

    def _elapsed_ms(self, transfer: Transfer) -> float:
        """Return the time since the start of a transfer, in milliseconds.

        The time is measured by the monotonic clock. A new leader continues
        from the elapsed time of the latest step and adds the duration of an
        election: an overestimate ends the transfer early, an underestimate
        would exceed its duration.
        """
        now_s = asyncio.get_running_loop().time()
        version, started_s = self._starts_by_service.get(
            transfer.service, ('', 0)
        )
        if version != transfer.version:
            elapsed_ms = transfer.elapsed_ms
            if transfer.step:
                elapsed_ms += ELECTION_MS
            started_s = now_s - elapsed_ms / MS_PER_S
            self._starts_by_service[transfer.service] = (
                transfer.version,
                started_s,
            )
        return (now_s - started_s) * MS_PER_S

    async def _propose(self, entry: Record) -> None:
        outcome = await self._log.propose(encode_frame(entry))
        if outcome.is_error():
            _LOG.warning(
                'log entry not committed',
                extra={
                    'entry': type(entry).__name__,
                    'reason': outcome.error.detail,
                },
            )


def _recorded_progress(transfer: Transfer) -> float:
    return transfer.elapsed_ms / max(transfer.duration_ms, 1)


def _is_ready(target: MeshTarget, service: str) -> bool:
    return target.service == service and target.state == MeshTargetState.READY

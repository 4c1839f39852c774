"""Records of the runs at the local target."""

import time

from mustardspur_core.mesh.call_messages import CallOpen
from mustardspur_core.units import NS_PER_MS

from mustardspur_node.mesh.admission import AdmissionControl
from mustardspur_node.mesh.crashes import CrashObserver
from mustardspur_node.mesh.names import HeaderNames
from mustardspur_node.mesh.reports import ReportStore, TargetReport, is_ready
from mustardspur_node.mesh.silent_targets import SilenceObserver
from mustardspur_node.mesh.target_pool import TargetPool
from mustardspur_node.mesh.transfer_evidence import TransferEvidence


class RunRecorder:
    """Records run times, evidence on transfers and crashes.

    Parameters
    ----------
    names : HeaderNames
        Names of the HTTP headers.
    admission : AdmissionControl
        Receives the run times.
    reports : ReportStore
        Reports of the target.
    """

    __slots__ = ('_admission', '_reports', 'crashes', 'evidence', 'silence')

    def __init__(
        self,
        names: HeaderNames,
        admission: AdmissionControl,
        reports: ReportStore,
    ) -> None:
        """Initialise without runs."""
        self._admission = admission
        self._reports = reports
        self.crashes = CrashObserver(names)
        self.silence = SilenceObserver(self.crashes)
        self.evidence = TransferEvidence()

    def record_answer(
        self,
        call: CallOpen,
        report: TargetReport,
        started_ns: int,
        *,
        failed: bool,
    ) -> None:
        """Record a run that the target answered."""
        self.crashes.record_answered(call)
        self._record(call, report, started_ns, failed=failed)

    def record_broken(
        self,
        call: CallOpen,
        report: TargetReport,
        started_ns: int,
        pool: TargetPool,
    ) -> None:
        """Record a run whose connection ended before its answer.

        Targets that leave end their connections without a crash.
        """
        if is_ready(self._reports.current):
            self.crashes.record_broken(call, pool)
        self._record(call, report, started_ns, failed=True)

    def record_unanswered(
        self,
        call: CallOpen,
        report: TargetReport,
        started_ns: int,
    ) -> None:
        """Record a run that ended at its deadline or was cancelled."""
        self.evidence.record_unanswered(
            (report.service, report.version, call.route),
            _elapsed_ms(started_ns),
            timed=not self._reports.is_cold,
        )

    def _record(
        self,
        call: CallOpen,
        report: TargetReport,
        started_ns: int,
        *,
        failed: bool,
    ) -> None:
        run_ms = _elapsed_ms(started_ns)
        cold = self._reports.is_cold
        self._admission.run_times.record(
            run_ms, failed=failed, route=call.route
        )
        if not failed:
            self._admission.ranks.record(call.route, run_ms)
        self.evidence.record(
            (report.service, report.version, call.route),
            run_ms,
            failed=failed,
            timed=not failed and not cold,
        )


def _elapsed_ms(started_ns: int) -> float:
    return (time.monotonic_ns() - started_ns) / NS_PER_MS

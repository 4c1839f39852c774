"""Records of the runs at the local target."""

import time
from typing import Final

from mustardspur_core.mesh.call_messages import CallOpen
from mustardspur_core.metrics import Metrics
from mustardspur_core.units import NS_PER_MS

from mustardspur_node.mesh.admission import AdmissionControl
from mustardspur_node.mesh.answer_parser import (
    CONNECTION_CLOSED,
    CONNECTION_RESET,
)
from mustardspur_node.mesh.crashes import CrashObserver
from mustardspur_node.mesh.names import HeaderNames
from mustardspur_node.mesh.reports import ReportStore, TargetReport, is_ready
from mustardspur_node.mesh.silent_targets import SilenceObserver
from mustardspur_node.mesh.target_pool import TargetPool
from mustardspur_node.mesh.transfer_evidence import TransferEvidence

# A deadline that is noticed later says nothing about the target, since a node
# that does not run reads no answers.
MAX_DELAY_MS: Final = 100.0
# Ends of the reasons of `BrokenAnswer`.
_LOST_CONNECTION: Final = (CONNECTION_CLOSED, CONNECTION_RESET)


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

    __slots__ = (
        '_admission',
        '_faulty_answers',
        '_lost_connections',
        '_reports',
        'crashes',
        'evidence',
        'silence',
    )

    def __init__(
        self,
        names: HeaderNames,
        admission: AdmissionControl,
        reports: ReportStore,
    ) -> None:
        """Initialise without runs."""
        self._admission = admission
        # Runs whose answer could not be one, and whose connection was lost.
        self._faulty_answers = 0
        self._lost_connections = 0
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

    def count_broken(self, reason: str) -> None:
        """Count a run without an answer by the reason of `BrokenAnswer`."""
        if reason.endswith(_LOST_CONNECTION):
            self._lost_connections += 1
        else:
            self._faulty_answers += 1

    def set_gauges(self, metrics: Metrics) -> None:
        """Set the gauges of the runs without an answer."""
        metrics.gauge('target.faulty_answers', self._faulty_answers)
        metrics.gauge('target.lost_connections', self._lost_connections)

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

    def record_timeout(
        self,
        call: CallOpen,
        report: TargetReport,
        started_ns: int,
        left_ms: float,
    ) -> None:
        """Record a run that ended at its deadline.

        It counts as failed if it lasted far longer than usual. The mean run
        time, which has the answered runs only, does not show a target that
        hangs.

        Parameters
        ----------
        left_ms : float
            Time from the start of the run until its deadline.
        """
        self.record_unanswered(call, report, started_ns)
        run_ms = _elapsed_ms(started_ns)
        is_delayed = run_ms - left_ms > MAX_DELAY_MS
        if is_delayed or self._reports.is_cold:
            return
        run_times = self._admission.run_times
        if run_times.is_hanging(run_ms, call.route):
            run_times.record(run_ms, failed=True, route=call.route)

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

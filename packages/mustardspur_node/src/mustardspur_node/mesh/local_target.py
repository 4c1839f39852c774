"""Runs calls at the target on the instance of the node."""

import asyncio
import time
from typing import Final

from mustardspur_core.mesh.call_messages import (
    CallOpen,
)
from mustardspur_core.suspension import suspended_s
from mustardspur_core.units import MS_PER_S

from mustardspur_node.mesh.admission import (
    DEFAULT_BALANCING,
    UNREACHABLE_CLOSED_S,
    AdmissionControl,
)
from mustardspur_node.mesh.answer_parser import BrokenAnswer, RawAnswer
from mustardspur_node.mesh.blocked_calls import BlockedCalls
from mustardspur_node.mesh.calls import (
    BeforeSend,
    MayRunRetries,
    PlacementFault,
    TargetAnswer,
    maybe_run_fault,
    not_sent_fault,
)
from mustardspur_node.mesh.names import HeaderNames
from mustardspur_node.mesh.reports import ReportStore, TargetReport, is_ready
from mustardspur_node.mesh.run_recorder import RunRecorder
from mustardspur_node.mesh.statements import TargetStatements
from mustardspur_node.mesh.target_connection import TargetConnection
from mustardspur_node.mesh.target_pool import TargetPool
from mustardspur_node.mesh.target_requests import TargetRequests

# A call with less time left is not sent, since it could only time out.
MIN_SENT_MS: Final = 10.0
# Subtracted from the deadline: the target counts the time from the receipt,
# and its answer has to travel back.
DEADLINE_MARGIN_MS: Final = 2.0
_WITHDRAWN_REASON: Final = 'data centre is evacuated'
# Faults after which the target may have restarted.
_RESTART_KINDS: Final = frozenset(('unreachable', 'refused', 'broken'))


class LocalTarget:
    """The target on the node's instance, its admission and connections.

    Parameters
    ----------
    reports : ReportStore
        Reports of the target about itself.
    names : HeaderNames
        Names of the HTTP headers.
    balancing : str
        Name of the policy that selects targets, see `new_run_times`.

    Attributes
    ----------
    refused : int
        Calls that were refused for want of a slot since the start of the
        node.
    may_run_retries : callable
        Returns whether retries may run, since the calls that the target makes
        within them are retries as well.
    """

    __slots__ = (
        '_confirmed',
        '_identity',
        '_requests',
        '_withdrawn',
        'admission',
        'blocked',
        'budget',
        'may_run_retries',
        'pool',
        'refused',
        'repeats',
        'reports',
        'runs',
        'statements',
    )

    def __init__(
        self,
        reports: ReportStore,
        names: HeaderNames,
        balancing: str = DEFAULT_BALANCING,
    ) -> None:
        """Initialise without a target, and closed until it is confirmed."""
        self._confirmed = False
        # Whether the data centre is evacuated.
        self._withdrawn = False
        self._requests = TargetRequests(names)
        self._identity: tuple[str, int] | None = None
        self.reports = reports
        self.admission = AdmissionControl(reports.cold, balancing)
        self.budget = self.admission.link.bodies.answers
        self.pool = TargetPool(reports.address, self.budget)
        self.refused = 0
        # Calls in flight that were sent to another target before.
        self.repeats = 0
        self.may_run_retries: MayRunRetries = _always
        self.statements = TargetStatements(names, self.admission, reports)
        self.blocked = BlockedCalls(names)
        self.runs = RunRecorder(names, self.admission, reports)

    def refresh(self) -> None:
        """Apply the current report of the target.

        A target with another identity gets new connections and statistics.
        """
        report = self.reports.current
        self.admission.open = self._confirmed and is_ready(report)
        self.apply_rule()
        if report is None:
            return
        if self._identity != (report.id, report.born):
            self._identity = (report.id, report.born)
            self.pool.close()
            self.pool = TargetPool(report.address, self.budget)
            self.admission.reset_statistics()
        self.admission.resize(report.slots)

    def apply_rule(self) -> None:
        """Apply the rule of the target's service in the table in force."""
        report = self.reports.current
        if report is not None:
            self.reports.cold.apply_rule(report.service)

    def confirm(self) -> None:
        """Accept calls if the reports say that the target is ready."""
        self._confirmed = not self._withdrawn
        self.refresh()

    def withdraw(self) -> int:
        """Refuse all calls that were not sent to the target.

        Returns
        -------
        int
            Number of waiting calls that were refused.
        """
        self._withdrawn = True
        self._confirmed = False
        refused = self.admission.refuse_waiting(_WITHDRAWN_REASON)
        self.refresh()
        return refused

    def readmit(self) -> None:
        """Let the target accept calls again once it is confirmed."""
        self._withdrawn = False

    def current_report(self, call: CallOpen) -> TargetReport:
        """Return the report of the target if it may run a call.

        Raises
        ------
        PlacementFault
            If the call is for another target, or the target is leaving or
            withdrawn.
        """
        report = self.reports.current
        if report is None or report.id != call.target:
            raise not_sent_fault('moved', 'target is not here')
        if report.service != call.service:
            raise not_sent_fault('moved', 'target is of another service')
        if not is_ready(report):
            raise not_sent_fault('closed', 'target is leaving')
        if self._withdrawn:
            raise not_sent_fault('closed', _WITHDRAWN_REASON)
        return report

    async def run(
        self,
        call: CallOpen,
        before_send: BeforeSend,
    ) -> TargetAnswer:
        """Run a call at the target.

        Parameters
        ----------
        call : CallOpen
            The call.
        before_send : callable
            Awaited immediately before the call is sent to the target; once
            it returns, the call may run.

        Raises
        ------
        PlacementFault
            If the target gives no usable answer.
        """
        left_s = (call.deadline_ms - DEADLINE_MARGIN_MS) / MS_PER_S
        # The suspended time is part of the sum, so that a deadline that passed
        # while the instance was suspended is seen to have passed.
        deadline_s = _now() + suspended_s() + left_s
        self.current_report(call)
        self.apply_rule()
        try:
            answer = await self._admit_and_run(call, deadline_s, before_send)
        except PlacementFault as fault:
            self.refused += fault.kind == 'busy'
            raise
        return self._target_answer(answer)

    async def _admit_and_run(
        self,
        call: CallOpen,
        deadline_s: float,
        before_send: BeforeSend,
    ) -> RawAnswer:
        if call.repeat and not self.may_run_retries():
            raise not_sent_fault('busy', 'no retries are left for its calls')
        request = self.admission.ranks.waiting_request(call)
        async with self.admission.admitted(request, call.max_wait_ms):
            self.repeats += call.repeat
            try:
                return await self._run_admitted(call, deadline_s, before_send)
            except PlacementFault as fault:
                self._apply_fault(fault)
                raise
            finally:
                self.repeats -= call.repeat

    def _apply_fault(self, fault: PlacementFault) -> None:
        """Apply what the fault of a call shows about the target.

        A target whose connection was refused or reset, or ended before its
        answer, may have restarted. One that refuses a call in an answer runs.
        """
        if fault.kind == 'unreachable':
            self.admission.close(UNREACHABLE_CLOSED_S)
        if fault.kind in _RESTART_KINDS and not (
            fault.kind == 'refused' and fault.arrived
        ):
            self.reports.cold.suspect(fault.kind)

    async def _run_admitted(
        self,
        call: CallOpen,
        deadline_s: float,
        before_send: BeforeSend,
    ) -> RawAnswer:
        request_id = self._requests.request_id(call)
        async with self.pool.acquire(request_id) as connection:
            left_ms = await self._confirm_send(call, deadline_s, before_send)
            with self.admission.run_times.tracked(call.route):
                return await self._exchange(call, connection, left_ms)

    async def _confirm_send(
        self,
        call: CallOpen,
        deadline_s: float,
        before_send: BeforeSend,
    ) -> float:
        """Return the remaining milliseconds once a call may be sent."""
        await before_send(self.admission.load)
        # The target may have changed while the call waited, and other targets
        # may have crashed while they ran the call.
        self.current_report(call)
        self.blocked.raise_if_blocked(call)
        left_ms = (deadline_s - _now() - suspended_s()) * MS_PER_S
        if left_ms < MIN_SENT_MS:
            raise not_sent_fault('timeout', 'no time was left')
        return left_ms

    async def _exchange(
        self,
        call: CallOpen,
        connection: TargetConnection,
        left_ms: float,
    ) -> RawAnswer:
        report = self.current_report(call)
        started_ns = time.monotonic_ns()
        sent_s = _now()
        try:
            with self.runs.silence.observed(call, connection, self.pool):
                async with asyncio.timeout(left_ms / MS_PER_S):
                    answer = await connection.exchange(
                        call.method,
                        self._requests.head(call, report, left_ms),
                        call.body,
                        lambda message: self._requests.identify(call, message),
                    )
        except TimeoutError as error:
            self.runs.record_timeout(call, report, started_ns, left_ms)
            raise maybe_run_fault('timeout', 'no answer in time') from error
        except asyncio.CancelledError:
            self.runs.record_unanswered(call, report, started_ns)
            raise
        except BrokenAnswer as error:
            self.runs.count_broken(str(error))
            self.runs.record_broken(call, report, started_ns, self.pool)
            raise maybe_run_fault('broken', str(error)) from error
        self.statements.apply(report, answer, sent_s)
        try:
            self._requests.raise_if_refused(answer)
        except PlacementFault:
            connection.refused_ids.append(self._requests.request_id(call))
            raise
        self.runs.record_answer(call, report, started_ns, failed=answer.failed)
        return answer

    def _target_answer(self, answer: RawAnswer) -> TargetAnswer:
        return TargetAnswer(
            status=answer.status,
            reason=answer.reason,
            headers=answer.headers,
            body=answer.body,
            load=self.admission.load,
        )


def _always() -> bool:
    return True


def _now() -> float:
    return asyncio.get_running_loop().time()

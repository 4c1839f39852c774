"""Running calls at the target beside the node."""

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable
from functools import partial
from http import HTTPStatus
from typing import Final

from aiohttp.http_parser import RawResponseMessage
from mustardspur_core.mesh.call_messages import (
    CallOpen,
    TargetLoad,
)
from mustardspur_core.units import MS_PER_S, NS_PER_MS

from mustardspur_node.mesh.answer_parser import BrokenAnswer, RawAnswer
from mustardspur_node.mesh.calls import (
    PlaceFault,
    TargetAnswer,
    maybe_run,
    never_sent,
)
from mustardspur_node.mesh.gate import Gate
from mustardspur_node.mesh.names import HeaderNames
from mustardspur_node.mesh.reports import ReportStore, TargetReport, is_ready
from mustardspur_node.mesh.tally import Tally
from mustardspur_node.mesh.target_connection import TargetConnection
from mustardspur_node.mesh.target_pool import TargetPool

_LOG: Final = logging.getLogger(__name__)

# A call with less time than this would be sent only to expire.
MIN_SENT_MS: Final = 10.0
# The target counts its time from the receipt; the answer has a way back.
MARGIN_MS: Final = 2.0

HandOver = Callable[[TargetLoad], Awaitable[None]]


class LocalTarget:
    """The target beside the node, with its gate and connections.

    Parameters
    ----------
    reports : ReportBook
        What the target says of itself.
    names : HeaderNames
        Names of the headers.
    """

    __slots__ = (
        '_confirmed',
        '_identity',
        '_names',
        'reports',
        'gate',
        'pool',
        'tally',
    )

    def __init__(
        self,
        reports: ReportStore,
        names: HeaderNames,
    ) -> None:
        """Start without a target, and closed until it is confirmed."""
        self._confirmed = False
        self._names = names
        self.pool = TargetPool(reports.address)
        self._identity: tuple[str, int] | None = None
        self.reports = reports
        self.gate = Gate()
        self.tally = Tally()

    def refresh(self) -> None:
        """Follow a change of what the target says of itself."""
        report = self.reports.current
        self.gate.open = self._confirmed and is_ready(report)
        if report is None:
            return
        if self._identity != (report.id, report.born):
            self._identity = (report.id, report.born)
            self.pool.close()
            self.pool = TargetPool(report.address)
            self.gate.renew()
        self.gate.resize(report.slots)

    def confirm(self) -> None:
        """Rely on the reports from now on."""
        self._confirmed = True
        self.refresh()

    async def run(self, call: CallOpen, hand_over: HandOver) -> TargetAnswer:
        """Run a call at the target.

        Parameters
        ----------
        call : CallOpen
            The call.
        hand_over : callable
            Awaited right before the call is sent to the target; from its
            return on the call may run.

        Raises
        ------
        PlaceFault
            If there is no usable answer.
        """
        deadline_s = _now() + (call.deadline_ms - MARGIN_MS) / MS_PER_S
        self._checked(call)
        rank = self.gate.costs.rank(call.route, call.priority)
        async with self.gate.admitted(rank, call.patience_ms):
            try:
                answer = await self._run_admitted(call, deadline_s, hand_over)
            except PlaceFault as fault:
                if fault.kind == 'unreachable':
                    self.gate.close_for_a_while()
                raise
        return self._target_answer(answer)

    async def _run_admitted(
        self,
        call: CallOpen,
        deadline_s: float,
        hand_over: HandOver,
    ) -> RawAnswer:
        async with self.pool.acquire() as connection:
            left_ms = await self._hand_over(call, deadline_s, hand_over)
            with self.gate.runs.timed():
                return await self._exchange(call, connection, left_ms)

    async def _hand_over(
        self,
        call: CallOpen,
        deadline_s: float,
        hand_over: HandOver,
    ) -> float:
        """Return the time that is left once the call may be sent."""
        await hand_over(self.gate.load)
        # The target can leave while the call waits.
        self._checked(call)
        left_ms = (deadline_s - _now()) * MS_PER_S
        if left_ms < MIN_SENT_MS:
            raise never_sent('timeout', 'no time was left')
        return left_ms

    def _checked(self, call: CallOpen) -> TargetReport:
        report = self.reports.current
        if report is None or report.id != call.target:
            raise never_sent('moved', 'target is not here')
        if report.service != call.service:
            raise never_sent('moved', 'target is of another service')
        if not is_ready(report):
            raise never_sent('closed', 'target is leaving')
        return report

    async def _exchange(
        self,
        call: CallOpen,
        connection: TargetConnection,
        left_ms: float,
    ) -> RawAnswer:
        report = self._checked(call)
        started_ns = time.monotonic_ns()
        try:
            async with asyncio.timeout(left_ms / MS_PER_S):
                answer = await connection.exchange(
                    call.method,
                    self._head(call, report, left_ms),
                    call.body,
                    partial(self._is_own, call),
                )
        except TimeoutError as error:
            raise maybe_run('timeout', 'no answer in time') from error
        except BrokenAnswer as error:
            self._note(call, report, started_ns, failed=True)
            raise maybe_run('broken', str(error)) from error
        self._check_run(answer)
        failed = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        self._note(call, report, started_ns, failed=failed)
        return answer

    def _is_own(self, call: CallOpen, message: RawResponseMessage) -> bool:
        echoed = message.headers.get(self._names.request_id)
        sent = _header(call, self._names.request_id)
        return echoed is None or echoed == sent

    def _check_run(self, answer: RawAnswer) -> None:
        refused = answer.header(self._names.not_run) is not None
        misdirected = answer.status == HTTPStatus.MISDIRECTED_REQUEST
        if refused or misdirected:
            raise PlaceFault(
                'refused',
                f'target answered {answer.status}',
                not_run=True,
                arrived=True,
            )

    def _note(
        self,
        call: CallOpen,
        report: TargetReport,
        started_ns: int,
        *,
        failed: bool,
    ) -> None:
        run_ms = (time.monotonic_ns() - started_ns) / NS_PER_MS
        cold = self.reports.is_cold
        self.gate.runs.note(run_ms, failed=failed)
        if not failed:
            self.gate.costs.note(call.route, run_ms)
        self.tally.note(
            (report.service, report.version, call.route),
            run_ms,
            failed=failed,
            timed=not failed and not cold,
        )

    def _head(
        self,
        call: CallOpen,
        report: TargetReport,
        left_ms: float,
    ) -> bytes:
        lines = [f'{call.method} {call.path} HTTP/1.1']
        lines.extend(f'{name}: {text}' for name, text in call.headers)
        names = self._names
        lines.append(f'{names.deadline_ms}: {int(left_ms)}')
        lines.append(f'{names.expected_target}: {report.id}')
        if call.body or call.method not in _BODYLESS_METHODS:
            lines.append(f'content-length: {len(call.body)}')
        lines.append('\r\n')
        return '\r\n'.join(lines).encode('utf-8', 'surrogateescape')

    def _target_answer(self, answer: RawAnswer) -> TargetAnswer:
        return TargetAnswer(
            status=answer.status,
            reason=answer.reason,
            headers=answer.headers,
            body=answer.body,
            load=self.gate.load,
        )


_BODYLESS_METHODS: Final = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))


def _header(call: CallOpen, wanted: str) -> str:
    lowered = wanted.lower()
    for name, text in call.headers:
        if name.lower() == lowered:
            return text
    return ''


def _now() -> float:
    return asyncio.get_running_loop().time()

"""What a target states about itself in the headers of its answers."""

import logging
from http import HTTPStatus
from typing import Final

from mustardspur_node.mesh.admission import AdmissionControl
from mustardspur_node.mesh.answer_parser import RawAnswer
from mustardspur_node.mesh.cold_state import parse_cold_ms
from mustardspur_node.mesh.decisions import DecisionLog
from mustardspur_node.mesh.names import HeaderNames
from mustardspur_node.mesh.rate_limit import parse_rate
from mustardspur_node.mesh.reports import (
    ReportStore,
    TargetReport,
    is_same_start,
)

_LOG: Final = logging.getLogger(__name__)

LEAVING: Final = '1'


class TargetStatements:
    """Applies the statements of the local target.

    Parameters
    ----------
    names : HeaderNames
        Names of the HTTP headers.
    admission : AdmissionControl
        Admission of calls to the target; receives its rate limit.
    reports : ReportStore
        Reports of the target; is told that the target leaves.
    """

    __slots__ = ('_admission', '_decisions', '_names', '_reports')

    def __init__(
        self,
        names: HeaderNames,
        admission: AdmissionControl,
        reports: ReportStore,
    ) -> None:
        """Initialise without statements."""
        self._names = names
        self._admission = admission
        self._reports = reports
        # A target can state another limit in each answer.
        self._decisions = DecisionLog(_LOG)

    def apply(
        self,
        report: TargetReport,
        answer: RawAnswer,
        sent_s: float,
    ) -> None:
        """Apply what an answer states, unless its target was replaced.

        Parameters
        ----------
        report : TargetReport
            Report of the target that the request was sent to.
        answer : RawAnswer
            Any answer of the target, also to a health check.
        sent_s : float
            Time on the event loop's clock at which the request was sent.
        """
        if not is_same_start(report, self._reports.current):
            return
        if answer.header(self._names.leaving) == LEAVING:
            self._reports.mark_leaving()
        if answer.status == HTTPStatus.MISDIRECTED_REQUEST:
            # Another target has started at the address.
            self._reports.cold.suspect('misdirected')
        self._apply_cold_time(report.id, answer, sent_s)
        stated = answer.header(self._names.rate_limit)
        try:
            per_s = None if stated is None else parse_rate(stated)
        except ValueError as error:
            self._decisions.write(
                'rate limit of the target cannot be read',
                target=report.id,
                reason=str(error),
            )
        else:
            self._apply_rate_limit(report.id, per_s, sent_s)

    def _apply_cold_time(
        self,
        target_id: str,
        answer: RawAnswer,
        sent_s: float,
    ) -> None:
        """Apply the cold time; an answer without one says nothing about it."""
        stated = answer.header(self._names.cold_ms)
        if stated is None:
            return
        try:
            cold_ms = parse_cold_ms(stated)
        except ValueError as error:
            self._decisions.write(
                'cold time of the target cannot be read',
                target=target_id,
                reason=str(error),
            )
        else:
            self._reports.cold.record_statement(cold_ms, sent_s, 'answer')

    def _apply_rate_limit(
        self,
        target_id: str,
        per_s: float | None,
        sent_s: float,
    ) -> None:
        capacity = self._admission.capacity
        before_per_s = capacity.rate_limit.per_s
        if self._admission.apply_rate_limit(per_s, sent_s):
            self._decisions.write(
                'rate limit of the target changed',
                target=target_id,
                limit_per_s=per_s,
                before_per_s=before_per_s,
                admitted=capacity.started,
            )

"""Log lines and metrics of the outcomes of calls."""

from http import HTTPStatus
from typing import Any, Final

from mustardspur_core.mesh.model import MeshTarget
from mustardspur_core.metrics import Metrics

from mustardspur_node.mesh.call_progress import CallProgress
from mustardspur_node.mesh.calls import PlacementFault, TargetAnswer
from mustardspur_node.mesh.decisions import DecisionLog
from mustardspur_node.mesh.view import MeshView

# Names of the distances in metrics.
_DISTANCES: Final = ('data_centre', 'region', 'other_region')


class CallLog:
    """Logs faults, failed calls and a sample of the successful calls.

    Parameters
    ----------
    view : MeshView
        View with the table that the calls are routed by.
    metrics : Metrics
        Receives the counts.
    """

    __slots__ = ('_metrics', '_view', 'decisions')

    def __init__(self, view: MeshView, metrics: Metrics) -> None:
        """Initialise with no lines written."""
        self._view = view
        self._metrics = metrics
        self.decisions = DecisionLog()

    def record_fault(
        self,
        progress: CallProgress,
        target: MeshTarget,
        fault: PlacementFault,
    ) -> None:
        """Log and count that a target gave no answer."""
        self._metrics.incr(f'calls.fault.{fault.kind}')
        self.decisions.write(
            'target gave no answer',
            **self._details(progress),
            target=target.id,
            node=target.node,
            kind=fault.kind,
            not_run=fault.not_run,
            detail=fault.detail,
        )

    def record_refused_offer(self, distance: int) -> None:
        """Count a first offer that a target at a distance refused."""
        self._metrics.incr(f'calls.offer_refused.{_DISTANCES[distance]}')

    def record_spilled(self) -> None:
        """Count a call that leaves its region, which is short of capacity."""
        self._metrics.incr('calls.spilled')

    def record_end(
        self,
        progress: CallProgress,
        status: HTTPStatus,
        reason: str,
    ) -> None:
        """Log and count that a call ends without an answer of a target."""
        self._metrics.incr(f'calls.ended.{status.value}')
        self.decisions.write(
            'call ended without an answer',
            **self._details(progress),
            status=status.value,
            reason=reason,
        )

    def record_cut_off(self, progress: CallProgress, reason: str) -> None:
        """Log and count that a call ends with the connection of its caller.

        Parameters
        ----------
        reason : str
            Why it ends, empty if the node does.
        """
        self._metrics.incr('calls.cut_off')
        self.decisions.write(
            'call cut off',
            **self._details(progress),
            passed_on=progress.may_run or bool(progress.possible_runs),
            reason=reason or 'the node ends',
        )

    def record_answer(
        self,
        progress: CallProgress,
        target: MeshTarget,
        answer: TargetAnswer,
    ) -> None:
        """Log the answer of a target if it failed or is in the sample."""
        failed = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if not failed and not self.decisions.sample_next():
            return
        self.decisions.write(
            'target failed a call' if failed else 'call answered',
            **self._details(progress),
            target=target.id,
            node=target.node,
            status=answer.status,
        )

    def record_retry(self, *, granted: bool) -> None:
        """Count a request to the retry budget."""
        outcome = 'granted' if granted else 'refused'
        self._metrics.incr(f'calls.repeat.{outcome}')

    def _details(self, progress: CallProgress) -> dict[str, Any]:
        """Return the fields that all lines about a call have."""
        return {
            'request': progress.call.request_id,
            'route': progress.call.route.name,
            'service': progress.service,
            'placements': progress.placements,
            'arrivals': progress.arrivals,
            'held_ms': round(progress.elapsed_ms()),
            'left_ms': round(progress.left_ms()),
            'table_index': self._view.table_index,
        }

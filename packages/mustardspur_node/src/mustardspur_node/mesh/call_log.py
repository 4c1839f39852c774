"""Log lines and counts of what happens to calls."""

from http import HTTPStatus
from typing import Any

from mustardspur_core.mesh.model import MeshTarget
from mustardspur_core.metrics import Metrics

from mustardspur_node.mesh.calls import PlaceFault, TargetAnswer
from mustardspur_node.mesh.decisions import DecisionLog
from mustardspur_node.mesh.journey import Journey
from mustardspur_node.mesh.view import MeshView


class CallLog:
    """Explains each refused, repeated or failed call and a sample of others.

    Parameters
    ----------
    view : MeshView
        The table that the calls are routed by.
    metrics : Metrics
        Receives the counts.
    """

    __slots__ = ('_metrics', '_view', 'decisions')

    def __init__(self, view: MeshView, metrics: Metrics) -> None:
        """Start without lines."""
        self._view = view
        self._metrics = metrics
        self.decisions = DecisionLog()

    def note_fault(
        self,
        journey: Journey,
        target: MeshTarget,
        fault: PlaceFault,
    ) -> None:
        """Note that a target gave no answer."""
        self._metrics.incr(f'calls.fault.{fault.kind}')
        self.decisions.note(
            'target gave no answer',
            **self._details(journey),
            target=target.id,
            node=target.node,
            kind=fault.kind,
            not_run=fault.not_run,
            detail=fault.detail,
        )

    def note_end(
        self,
        journey: Journey,
        status: HTTPStatus,
        reason: str,
    ) -> None:
        """Note that a call ends without a target's answer."""
        self._metrics.incr(f'calls.ended.{status.value}')
        self.decisions.note(
            'call ended without an answer',
            **self._details(journey),
            status=status.value,
            reason=reason,
        )

    def note_answer(
        self,
        journey: Journey,
        target: MeshTarget,
        answer: TargetAnswer,
    ) -> None:
        """Note a target's answer, if it failed or is of the sample."""
        failed = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if not failed and not self.decisions.takes_sample():
            return
        self.decisions.note(
            'target failed a call' if failed else 'call answered',
            **self._details(journey),
            target=target.id,
            node=target.node,
            status=answer.status,
        )

    def note_repeat(self, *, granted: bool) -> None:
        """Count a question to the budget for repeated calls."""
        outcome = 'granted' if granted else 'refused'
        self._metrics.incr(f'calls.repeat.{outcome}')

    def _details(self, journey: Journey) -> dict[str, Any]:
        """Return what every line about a call has."""
        return {
            'request': journey.call.request_id,
            'route': journey.call.route.name,
            'service': journey.service,
            'placements': journey.placements,
            'arrivals': journey.arrivals,
            'held_ms': round(journey.held_ms()),
            'left_ms': round(journey.left_ms()),
            'table_index': self._view.table_index,
        }

"""Tasks that decide whether the local target receives calls."""

import asyncio
from functools import partial

from mustardspur_core.metrics import Metrics
from mustardspur_core.tasks import supervised

from mustardspur_node.mesh.confirmation import ready_health_path
from mustardspur_node.mesh.evacuation import TargetEvacuation
from mustardspur_node.mesh.local_target import LocalTarget
from mustardspur_node.mesh.target_checks import TargetChecks
from mustardspur_node.mesh.view import MeshView


class TargetSupervision:
    """Withdraws, confirms and queries the local target.

    Parameters
    ----------
    data_centre : str
        Data centre of the node.
    local : LocalTarget
        The local target of the node.
    view : MeshView
        Table and evacuations in force.
    """

    __slots__ = ('_checks', '_evacuation', '_local', '_view')

    def __init__(
        self,
        data_centre: str,
        local: LocalTarget,
        view: MeshView,
    ) -> None:
        """Initialise with a target that is not confirmed."""
        self._local = local
        self._view = view
        local.runs.silence.health_path = partial(ready_health_path, local, view)
        self._evacuation = TargetEvacuation(data_centre, local, view)
        self._checks = TargetChecks(local, view)

    async def run(self) -> None:
        """Supervise the target until cancelled."""
        await asyncio.gather(
            supervised('target evacuation', self._evacuation.run),
            supervised('status queries', self._checks.run),
        )

    def set_gauges(self, metrics: Metrics) -> None:
        """Set the gauges of evacuations, cold state, silence and blocks."""
        is_silent = self._local.runs.crashes.is_silent
        metrics.gauge('target.silent', int(is_silent))
        metrics.gauge('blocked_calls', len(self._local.blocked))
        metrics.gauge('target.cold', int(self._local.reports.cold.is_cold))
        metrics.gauge('target.status_queries', self._checks.queries)
        metrics.gauge('target.evacuated', int(self._evacuation.is_evacuated))
        metrics.gauge(
            'evacuated_data_centres',
            len(self._view.evacuated.names),
        )

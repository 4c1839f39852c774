"""Announcement of a node and its local target."""

import time

from mustardspur_core.mesh.model import MeshTarget, MeshTargetState
from mustardspur_core.settings import Settings

from mustardspur_node.mesh.reports import ReportStore, TargetReport


class NodeAnnouncement:
    """Creates announcements numbered by incarnation and sequence.

    Parameters
    ----------
    settings : Settings
        Address, data centre and region of the node.
    reports : ReportStore
        Latest report of the local target.
    """

    __slots__ = (
        '_reports',
        '_sequence',
        '_settings',
        'draining',
        'incarnation',
    )

    def __init__(self, settings: Settings, reports: ReportStore) -> None:
        """Initialise a new incarnation."""
        self._settings = settings
        self._reports = reports
        self._sequence = 0
        self.incarnation = time.time_ns()
        self.draining = False

    def next(self) -> MeshTarget:
        """Return the next announcement of this node."""
        self._sequence += 1
        report = self._reports.current
        state = report.state if report else ''
        return MeshTarget(
            id=report.id if report else '',
            service=report.service if report else '',
            version=report.version if report else '',
            node=self._settings.listen.stream or '',
            data_centre=self._settings.data_centre,
            region=self._settings.region,
            slots=report.slots if report else 0,
            state=MeshTargetState.DRAINING.value if self.draining else state,
            cold_ms=self._cold_ms(report),
            incarnation=self.incarnation,
            sequence=self._sequence,
        )

    def _cold_ms(self, report: TargetReport | None) -> float:
        """Return the reported cold time, or the remaining one if bounded.

        A target with a bound is announced again when it turns cold again.
        """
        if report is None:
            return 0
        cold = self._reports.cold
        return round(cold.remaining_ms) if cold.per_s else report.cold_ms

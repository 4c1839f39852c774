"""Announcement of a node and its local target."""

import logging
import time
from collections.abc import Iterable
from typing import Final

from mustardspur_core.mesh.model import MeshTarget, MeshTargetState
from mustardspur_core.settings import Settings

from mustardspur_node.mesh.reports import ReportStore, TargetReport

_LOG: Final = logging.getLogger(__name__)

# The highest incarnation that is outranked; times of day stay far below.
_MAX_OUTRANKED: Final = 4_000_000_000_000_000_000


class NodeAnnouncement:
    """Creates announcements numbered by incarnation and sequence.

    Explanation
    ===========

    The incarnation is the time of day at the start. If that has stepped back
    since the former process at the address started, announcements get the next
    one to the incarnation of the former process, whose registration would be
    used until it is removed. Counts and crashes keep the incarnation that they
    were first sent with.

    Parameters
    ----------
    settings : Settings
        Address, data centre and region of the node.
    reports : ReportStore
        Latest report of the local target.
    """

    __slots__ = (
        '_announced_incarnation',
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
        self._announced_incarnation = self.incarnation
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
            incarnation=self._announced_incarnation,
            sequence=self._sequence,
        )

    def outrank(self, registrations: Iterable[MeshTarget]) -> bool:
        """Rank above the registration of a former process of this node.

        A node that drains leaves the rank to its successor.

        Returns
        -------
        bool
            Whether an announcement has to be sent.
        """
        former = max(
            (
                registration.incarnation
                for registration in registrations
                if registration.node == self._settings.listen.stream
            ),
            default=0,
        )
        outranked = self._announced_incarnation < former < _MAX_OUTRANKED
        if self.draining or not outranked:
            return False
        _LOG.warning(
            'registration of a former process outranked',
            extra={
                'former_incarnation': former,
                'incarnation': self.incarnation,
            },
        )
        self._announced_incarnation = former + 1
        return True

    def _cold_ms(self, report: TargetReport | None) -> float:
        """Return the reported cold time, or the remaining one if bounded.

        A target with a bound is announced again when it turns cold again.
        """
        if report is None:
            return 0
        cold = self._reports.cold
        return round(cold.remaining_ms) if cold.per_s else report.cold_ms

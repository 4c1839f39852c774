"""The row that a node announces of itself."""

import time

from mustardspur_core.mesh.model import MeshTarget, TargetState
from mustardspur_core.settings import Settings

from mustardspur_node.mesh.reports import ReportBook


class OwnRow:
    """The node's row, numbered by the start of the node and a sequence.

    Parameters
    ----------
    settings : Settings
        Where the node is.
    book : ReportBook
        What the target beside it says of itself.
    """

    __slots__ = ('_book', '_sequence', '_settings', 'incarnation', 'leaving')

    def __init__(self, settings: Settings, book: ReportBook) -> None:
        """Start a new incarnation."""
        self._settings = settings
        self._book = book
        self._sequence = 0
        self.incarnation = time.time_ns()
        self.leaving = False

    def next(self) -> MeshTarget:
        """Return the row of this node for the others."""
        self._sequence += 1
        report = self._book.current
        state = report.state if report else ''
        return MeshTarget(
            id=report.id if report else '',
            service=report.service if report else '',
            version=report.version if report else '',
            node=self._settings.listen.stream or '',
            data_centre=self._settings.data_centre,
            region=self._settings.region,
            slots=report.slots if report else 0,
            state=TargetState.DRAINING.value if self.leaving else state,
            cold_ms=report.cold_ms if report else 0,
            incarnation=self.incarnation,
            sequence=self._sequence,
        )

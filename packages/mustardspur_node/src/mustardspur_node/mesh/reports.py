"""What the target beside the node says of itself."""

import asyncio
import logging
from typing import Any, Final

from mustardspur_core.mesh.model import TargetState
from mustardspur_core.record import Record, replaced
from mustardspur_core.units import MS_PER_S

_LOG: Final = logging.getLogger(__name__)

# Identities that left are remembered, since a late report of one of them
# must not bring it back.
MAX_LEFT: Final = 256
# Reports can be some seconds late. One that was sent before the target's
# leave was acknowledged is not told from a fresh one by a node that does not
# know the target, since it was restarted in between; after this time none is
# expected any more.
LATE_REPORTS_S: Final = 6.0


class TargetReport(Record):
    """An announcement of a target.

    Parameters
    ----------
    born : int
        Wall clock of the target's start in milliseconds; an identity that is
        used again starts anew with a higher one.
    sequence : int
        Number of the announcement since the start.
    """

    __slots__ = (
        'id',
        'service',
        'version',
        'address',
        'slots',
        'state',
        'cold_ms',
        'sequence',
        'born',
    )
    id: str
    service: str
    version: str
    address: str
    slots: int
    state: str
    cold_ms: float
    sequence: int
    born: int


class ReportBook:
    """The newest report of the target beside the node.

    Parameters
    ----------
    address : str
        ``ip:port`` of the target by the settings.
    """

    __slots__ = (
        '_left',
        '_left_unknown_s',
        'address',
        'changed',
        'cold_until_s',
        'current',
    )

    def __init__(self, address: str) -> None:
        """Start without a target."""
        self.address = address
        self.current: TargetReport | None = None
        self.cold_until_s: float = 0
        self.changed = asyncio.Event()
        self._left: dict[str, int] = {}
        self._left_unknown_s: dict[str, float] = {}

    @property
    def is_cold(self) -> bool:
        """Whether the target is still slow after its start."""
        return _now() < self.cold_until_s

    def take(self, report: TargetReport) -> bool:
        """Take a report over if it is newer than what is known.

        Returns
        -------
        bool
            Whether it changed what the node believes.
        """
        refusal = self._refusal(report)
        if refusal:
            _LOG.info(
                'report not used',
                extra={'target': report.id, 'reason': refusal},
            )
            return False
        known = self.current
        self.current = report
        self.cold_until_s = _now() + report.cold_ms / MS_PER_S
        if known is not None and _same_row(known, report):
            return False
        _LOG.info(
            'target changed',
            extra={
                'target': report.id,
                'service': report.service,
                'version': report.version,
                'state': report.state,
                'sequence': report.sequence,
            },
        )
        self.changed.set()
        return True

    def leave(self, target_id: str) -> bool:
        """Drop the target if it has this identity."""
        known = self.current
        if known is None or known.id != target_id:
            self._note_unknown_leave(target_id)
            return False
        self._left[target_id] = known.born
        _drop_oldest(self._left)
        self.current = None
        _LOG.info('target left', extra={'target': target_id})
        self.changed.set()
        return True

    def _note_unknown_leave(self, target_id: str) -> None:
        """Expect late reports of a target that left before it was known."""
        _LOG.info('unknown target left', extra={'target': target_id})
        if target_id not in self._left:
            self._left_unknown_s[target_id] = _now()
            _drop_oldest(self._left_unknown_s)

    def _refusal(self, report: TargetReport) -> str:
        if report.address.rpartition(':')[0] != self.address.rpartition(':')[0]:
            return f'address {report.address} is on another instance'
        left_s = self._left_unknown_s.get(report.id, float('-inf'))
        is_late = _now() - left_s < LATE_REPORTS_S
        if is_late or report.born <= self._left.get(report.id, -1):
            return 'the target has left'
        known = self.current
        if known is None:
            return ''
        if (report.born, report.sequence) < (known.born, known.sequence):
            return 'a newer report is known'
        if report.born == known.born and report.id != known.id:
            return f'{known.id} was born at the same moment'
        return ''


def _same_row(known: TargetReport, report: TargetReport) -> bool:
    return known == replaced(
        report,
        sequence=known.sequence,
        cold_ms=known.cold_ms,
    )


def is_ready(report: TargetReport | None) -> bool:
    """Whether a target takes new calls."""
    return report is not None and report.state == TargetState.READY


def _drop_oldest(by_target: dict[str, Any]) -> None:
    while len(by_target) > MAX_LEFT:
        by_target.pop(next(iter(by_target)))


def _now() -> float:
    return asyncio.get_running_loop().time()

"""Reports that the local target of the node sends about itself."""

import asyncio
import logging
from collections.abc import Callable
from types import MappingProxyType
from typing import Any, ClassVar, Final

from mustardspur_core.addresses import has_valid_port
from mustardspur_core.mesh.model import MeshTargetState
from mustardspur_core.record import Defaults, Record, replaced
from mustardspur_core.settings import Settings
from mustardspur_core.texts import show

from mustardspur_node.mesh.cold_state import ColdState

_LOG: Final = logging.getLogger(__name__)

# Removed identities that are stored, so that a late report does not add a
# removed target again.
MAX_REMOVED: Final = 256
# Reports can arrive some seconds late. A node that restarted after it
# acknowledged the removal of a target does not know the target, so it cannot
# distinguish a late report of it from a new one. Reports are not expected to
# be later than this.
MAX_REPORT_DELAY_S: Final = 6.0
# The identifier is sent to the target in the head of each call.
_NAMES: Final = ('id', 'service', 'version')
MAX_NAME_CHARS: Final = 256
# Lowest and highest values of the numbers in reports. Start times are in Unix
# milliseconds and end with the year 9999, cold times with a day.
_RANGES: Final = MappingProxyType(
    {
        'slots': (1, 100_000),
        'sequence': (0, 9_007_199_254_740_991),
        'born': (0, 253_402_300_799_999),
        'cold_ms': (0, 86_400_000),
    },
)


class TargetReport(Record):
    """Report of a target about itself.

    Parameters
    ----------
    born : int
        Wall clock time of the target's start in milliseconds; a restarted
        target with the same identity has a higher one.
    sequence : int
        Number of the report since the start of the target.
    data_centre : str
        Data centre of the target, empty if it states none.
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
        'data_centre',
    )
    optional: ClassVar[Defaults] = MappingProxyType({'data_centre': str})
    id: str
    service: str
    version: str
    address: str
    slots: int
    state: str
    cold_ms: float
    sequence: int
    born: int
    data_centre: str


def find_report_fault(report: TargetReport) -> str:
    """Return which field of a report is out of range, empty for none.

    Another process may send a report with a value that no target has. Such a
    value would end calls and checks with an unexpected error, make all later
    reports of the target look older, or add lines to the heads of calls.
    """
    for name in _NAMES:
        if not _is_name(getattr(report, name)):
            return (
                f'{name}: expected printable ASCII characters, '
                f'at most {MAX_NAME_CHARS}'
            )
    if not has_valid_port(report.address):
        shown = show(report.address)
        return f'address: expected ip:port, found {shown}'
    for name, (lowest, highest) in _RANGES.items():
        if not lowest <= getattr(report, name) <= highest:
            return '{}: expected {} to {}'.format(name, lowest, highest)
    return ''


def find_foreign_field(report: TargetReport, settings: Settings) -> str:
    """Return which field shows that a report is of another target.

    The settings name the service, the address and the data centre of the local
    target. A report of another target would take the place of the local one,
    whose own reports then look outdated.

    Returns
    -------
    str
        The field with what was expected and found, empty if the report can be
        of the local target.
    """
    expected_by_field = {'service': settings.service}
    if settings.mesh and settings.mesh.target_address:
        expected_by_field['address'] = settings.mesh.target_address
    if report.data_centre:
        expected_by_field['data_centre'] = settings.data_centre
    for name, expected in expected_by_field.items():
        found = getattr(report, name)
        if found != expected:
            return f'{name}: expected {expected!r}, found {show(found)}'
    return ''


class ReportStore:
    """Stores the latest valid report of the local target.

    Parameters
    ----------
    address : str
        ``ip:port`` of the target from the settings.

    Attributes
    ----------
    cold : ColdState
        Whether the target at the address is cold.
    """

    __slots__ = (
        '_born_by_removed_id',
        '_callbacks',
        '_leaving',
        '_unknown_removed_s',
        'address',
        'cold',
        'current',
    )

    def __init__(self, address: str) -> None:
        """Initialise the store without a target."""
        self.address = address
        self.current: TargetReport | None = None
        self.cold = ColdState()
        self._callbacks: list[Callable[[], None]] = []
        # Report of a target that has stated since that it leaves.
        self._leaving: TargetReport | None = None
        self._born_by_removed_id: dict[str, int] = {}
        self._unknown_removed_s: dict[str, float] = {}

    @property
    def is_cold(self) -> bool:
        """Whether the target is cold."""
        return self.cold.is_cold

    def on_change(self, callback: Callable[[], None]) -> None:
        """Register a callback for changes of the target."""
        self._callbacks.append(callback)

    def accept(self, report: TargetReport) -> bool:
        """Store a report unless it is outdated or invalid.

        Returns
        -------
        bool
            Whether the target changed in more than sequence and cold time.
        """
        reject_reason = self._reject_reason(report)
        if reject_reason:
            _LOG.info(
                'report ignored',
                extra={'target': report.id, 'reason': reject_reason},
            )
            self._suspect_restart(report)
            return False
        if is_same_start(report, self._leaving):
            # A report that was sent before the target began to leave.
            report = _draining(report)
        current = self.current
        self.current = report
        self.cold.record_statement(report.cold_ms, _now(), 'report')
        if current is not None and _is_unchanged(current, report):
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
        self._notify()
        return True

    def mark_leaving(self) -> None:
        """Mark the target as draining, since it has stated that it leaves.

        It stays so until a target with another identity or start reports.
        """
        current = self.current
        if current is None or not is_ready(current):
            return
        self._leaving = current
        self.current = _draining(current)
        _LOG.info(
            'target states that it leaves',
            extra={'target': current.id, 'sequence': current.sequence},
        )
        self._notify()

    def remove(self, target_id: str) -> bool:
        """Remove the target; return False if it is not the current one."""
        current = self.current
        if current is None or current.id != target_id:
            self._record_unknown_removal(target_id)
            return False
        self._born_by_removed_id[target_id] = current.born
        _evict_oldest(self._born_by_removed_id)
        self._drop(current)
        return True

    def remove_foreign(self, settings: Settings) -> None:
        """Remove the target if the settings name another one by now.

        Its address may have gone to the other one, which has not reported yet.
        The target has not said that it leaves, so its reports are accepted
        again if the settings name it again.
        """
        current = self.current
        if current is not None and find_foreign_field(current, settings):
            self._drop(current)

    def _drop(self, target: TargetReport) -> None:
        self.current = None
        _LOG.info('target left', extra={'target': target.id})
        self._notify()

    def _notify(self) -> None:
        for callback in self._callbacks:
            callback()

    def _suspect_restart(self, ignored: TargetReport) -> None:
        """Suspect a restart if an ignored report states a longer cold time.

        A target that states no start time restarts its sequence, so that its
        first reports look older than the stored one.
        """
        remaining_ms = self.cold.remaining_ms
        if (
            is_same_start(ignored, self.current)
            and ignored.cold_ms > remaining_ms
        ):
            self.cold.suspect('ignored report')

    def _record_unknown_removal(self, target_id: str) -> None:
        """Record the removal of an unknown target to ignore late reports."""
        _LOG.info('unknown target removed', extra={'target': target_id})
        if target_id not in self._born_by_removed_id:
            self._unknown_removed_s[target_id] = _now()
            _evict_oldest(self._unknown_removed_s)

    def _reject_reason(self, report: TargetReport) -> str:
        if report.address.rpartition(':')[0] != self.address.rpartition(':')[0]:
            return f'address {show(report.address)} is on another instance'
        removed_s = self._unknown_removed_s.get(report.id, float('-inf'))
        is_late = _now() - removed_s < MAX_REPORT_DELAY_S
        if is_late or report.born <= self._born_by_removed_id.get(
            report.id, -1
        ):
            return 'the target was removed'
        current = self.current
        if current is None:
            return ''
        if (report.born, report.sequence) < (current.born, current.sequence):
            return 'a newer report is stored'
        if report.born == current.born and report.id != current.id:
            return f'target {current.id} has the same start time'
        return ''


def _is_name(text: str) -> bool:
    is_printable = text.isascii() and text.isprintable()
    return is_printable and len(text) <= MAX_NAME_CHARS


def is_same_start(report: TargetReport, other: TargetReport | None) -> bool:
    """Return whether two reports are of the same start of one target."""
    return other is not None and (
        (report.id, report.born) == (other.id, other.born)
    )


def _draining(report: TargetReport) -> TargetReport:
    return replaced(report, state=MeshTargetState.DRAINING.value)


def _is_unchanged(current: TargetReport, report: TargetReport) -> bool:
    return current == replaced(
        report,
        sequence=current.sequence,
        cold_ms=current.cold_ms,
    )


def is_ready(report: TargetReport | None) -> bool:
    """Return whether a target accepts new calls."""
    return report is not None and report.state == MeshTargetState.READY


def _evict_oldest(by_target: dict[str, Any]) -> None:
    while len(by_target) > MAX_REMOVED:
        by_target.pop(next(iter(by_target)))


def _now() -> float:
    return asyncio.get_running_loop().time()

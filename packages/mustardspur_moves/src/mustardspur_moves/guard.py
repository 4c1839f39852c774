"""Node side of moves: reports of outcomes and local cut-off."""

import time
from collections.abc import Callable
from typing import Final, Protocol

from mustardspur_core.messages import CutOff, Outcomes
from mustardspur_core.profile.model import MovePolicy
from mustardspur_core.record import Record
from mustardspur_core.state import Move, MoveState, ServiceConfig, Target

from mustardspur_moves.evidence import (
    CellKey,
    Cells,
    Evidence,
    row_of,
)
from mustardspur_moves.outcome_counts import FAULTS, OutcomeCounts
from mustardspur_moves.slots import Slot
from mustardspur_moves.tuning import tuning_of
from mustardspur_moves.verdict import evaluate_version

# Length of a window of the node's own evidence. It is not sent, so short
# windows do not cost control bytes.
WINDOW_S: Final = 1.0
# Number of windows before older ones are compacted.
RECENT_WINDOWS: Final = 60
# Factor on the threshold, since each of many nodes tests the same version.
THRESHOLD_FACTOR: Final = 20.0
# Evidence ratio from which a node reports without waiting for the interval.
IMMEDIATE_REPORT_RATIO: Final = 1.0
# Number of new failures and refusals after which the node evaluates a move
# without waiting for the next tick.
FAILURES_BEFORE_EVALUATION: Final = 4
_OPEN_STATES: Final = frozenset((MoveState.RUNNING, MoveState.PAUSED))


class MoveView(Protocol):
    """Part of a node's view of a service that the guard needs."""

    @property
    def config(self) -> ServiceConfig:
        """Configuration in force."""

    @property
    def targets_by_version(self) -> dict[str, list[Target]]:
        """Targets that are eligible for calls, by version."""


class _MoveMonitor:
    """Evidence and reporting state of one open move on a node."""

    __slots__ = (
        'evidence',
        'evidence_ratio',
        'failures',
        'move',
        'new_targets',
        'policy',
        'reported_s',
        'unevaluated',
        'unreported',
    )

    def __init__(self, move: Move, policy: MovePolicy, now_s: float) -> None:
        self.move = move
        self.policy = policy
        self.evidence = Evidence()
        self.unevaluated: Cells = {}
        self.unreported: Cells = {}
        self.failures = 0
        self.reported_s = now_s
        self.new_targets = 0
        self.evidence_ratio: float = 0

    @property
    def versions(self) -> tuple[str, str]:
        """Old and new version."""
        return self.move.from_version, self.move.to_version

    def report_is_due(self, now_s: float) -> bool:
        """Return whether the interval has passed or the version looks bad."""
        if self.evidence_ratio >= IMMEDIATE_REPORT_RATIO:
            return True
        return (
            now_s >= self.reported_s + tuning_of(self.policy).report_interval_s
        )

    def counts_of_call(
        self, target: Target, route: str, caller: str
    ) -> OutcomeCounts:
        """Return the unevaluated counts of the cell that a call belongs to."""
        key = CellKey(
            target.version, target.id, route, target.data_centre, caller
        )
        cell_counts = self.unevaluated.get(key)
        if cell_counts is None:
            cell_counts = self.unevaluated.setdefault(
                key, OutcomeCounts.empty()
            )
        return cell_counts


class Guard:
    """Counts outcomes per open move, reports them, cuts off bad versions.

    Parameters
    ----------
    node : str
        Identifier of the node.
    send : callable
        Sends `Outcomes` and `CutOff` to the control instance.
    on_cut_off : callable
        Called with each new cut-off, whether decided here or received.
    clock : callable
        Returns the wall clock time in seconds.
    """

    __slots__ = (
        '_clock',
        '_monitors',
        '_on_cut_off',
        '_open_moves',
        '_send',
        'cut_offs',
        'node',
    )

    def __init__(
        self,
        node: str,
        send: Callable[[Outcomes | CutOff], None],
        on_cut_off: Callable[[CutOff], None],
        clock: Callable[[], float] = time.time,
    ) -> None:
        """Initialise without moves and cut-offs."""
        self.node = node
        self.cut_offs: dict[str, CutOff] = {}
        self._send = send
        self._on_cut_off = on_cut_off
        self._clock = clock
        self._monitors: dict[str, _MoveMonitor] = {}
        self._open_moves: dict[str, _OpenMoves] = {}

    def record_outcome(
        self,
        view: MoveView,
        route: str,
        target: Target,
        outcome: str,
        latency_ms: float,
        caller: str = '',
    ) -> None:
        """Count an attempt at a target that an open move covers."""
        for monitor in self._moves_at(view, route, target):
            monitor.counts_of_call(target, route, caller).count(
                outcome, latency_ms
            )
            is_fault = outcome in FAULTS
            if is_fault and target.version == monitor.move.to_version:
                self._count_failures(monitor, 1)

    def record_counts(
        self,
        view: MoveView,
        route: str,
        target: Target,
        cell_counts: OutcomeCounts,
        caller: str = '',
    ) -> None:
        """Count several attempts at a target at once."""
        for monitor in self._moves_at(view, route, target):
            monitor.counts_of_call(target, route, caller).add(cell_counts)
            if target.version == monitor.move.to_version:
                self._count_failures(
                    monitor, cell_counts.failures + cell_counts.refusals
                )

    def tick(self) -> None:
        """Evaluate every move and send the reports that are due.

        Must be called about once a second.
        """
        for monitor in list(self._monitors.values()):
            self._evaluate(monitor)
            if monitor.report_is_due(self._clock()):
                self._report(monitor)

    def accept_cut_off(self, cut_off: CutOff) -> None:
        """Store a cut-off; it stays in force until the node stops."""
        if cut_off.move not in self.cut_offs:
            self.cut_offs[cut_off.move] = cut_off
            self._on_cut_off(cut_off)

    def resend_cut_offs(self) -> None:
        """Send the cut-offs of open moves again, to a new control instance."""
        for move, cut_off in self.cut_offs.items():
            if move in self._monitors:
                self._send(cut_off)

    def _moves_at(
        self,
        view: MoveView,
        route: str,
        target: Target,
    ) -> list[_MoveMonitor]:
        """Return the open moves that a call to a target is evidence for."""
        config = view.config
        if not config.moves:
            return []
        open_moves = self._open_moves.get(config.service)
        if open_moves is None or open_moves.config is not config:
            open_moves = self._monitor_open_moves(view)
        return [
            monitor
            for monitor in open_moves.by_route.get(route, ())
            if target.version in monitor.versions
        ]

    def _count_failures(self, monitor: _MoveMonitor, failures: int) -> None:
        monitor.failures += failures
        if monitor.failures >= FAILURES_BEFORE_EVALUATION:
            self._evaluate(monitor)

    def _monitor_open_moves(self, view: MoveView) -> '_OpenMoves':
        config = view.config
        self._remove_ended(config)
        by_route: dict[str, list[_MoveMonitor]] = {
            route.name: [] for route in config.profile.routes
        }
        for move in _open_moves(config):
            monitor = self._monitor_of(move, config)
            targets = view.targets_by_version.get(move.to_version, [])
            monitor.new_targets = len(targets)
            for route in config.profile.routes:
                if route.weights.get(move.target_set, 0):
                    by_route[route.name].append(monitor)
        open_moves = _OpenMoves(config=config, by_route=by_route)
        self._open_moves[config.service] = open_moves
        return open_moves

    def _monitor_of(self, move: Move, config: ServiceConfig) -> _MoveMonitor:
        monitor = self._monitors.get(move.id)
        if monitor is None:
            monitor = _MoveMonitor(move, config.profile.move, self._clock())
            self._monitors[move.id] = monitor
        if monitor.move.step != move.step:
            # Calls before and after a change of share are counted in
            # different slots.
            self._evaluate(monitor)
            self._report(monitor)
        monitor.move = move
        monitor.policy = config.profile.move
        return monitor

    def _remove_ended(self, config: ServiceConfig) -> None:
        open_moves = {move.id for move in _open_moves(config)}
        for monitor in list(self._monitors.values()):
            move = monitor.move
            if move.service == config.service and move.id not in open_moves:
                self._monitors.pop(move.id)

    def _evaluate(self, monitor: _MoveMonitor) -> None:
        window = int(self._clock() // WINDOW_S)
        slot = Slot(step=monitor.move.step, window=window)
        for key, cell_counts in monitor.unevaluated.items():
            monitor.evidence.add(slot, key, cell_counts)
            monitor.unreported.setdefault(key, OutcomeCounts.empty()).add(
                cell_counts
            )
        monitor.unevaluated = {}
        monitor.failures = 0
        move = monitor.move
        if move.id in self.cut_offs:
            return
        verdict = evaluate_version(
            move,
            monitor.policy,
            monitor.evidence,
            new_targets=monitor.new_targets,
            window_s=WINDOW_S,
            threshold_factor=THRESHOLD_FACTOR,
        )
        monitor.evidence_ratio = verdict.evidence_ratio
        monitor.evidence.compact(window - RECENT_WINDOWS)
        if verdict.bad:
            cut_off = CutOff(
                move=move.id,
                version=move.to_version,
                origin=self.node,
                reason=f'more {verdict.kind} ({verdict.scope})',
            )
            self.accept_cut_off(cut_off)
            self._send(cut_off)

    def _report(self, monitor: _MoveMonitor) -> None:
        if not monitor.unreported:
            return
        rows = [
            row_of(key, cell_counts)
            for key, cell_counts in monitor.unreported.items()
        ]
        monitor.unreported = {}
        monitor.reported_s = self._clock()
        self._send(
            Outcomes(move=monitor.move.id, step=monitor.move.step, rows=rows)
        )


class _OpenMoves(Record):
    """Monitors of a service's open moves by route, for one configuration."""

    __slots__ = ('config', 'by_route')
    config: ServiceConfig
    by_route: dict[str, list[_MoveMonitor]]


def _open_moves(config: ServiceConfig) -> list[Move]:
    return [move for move in config.moves if move.state in _OPEN_STATES]

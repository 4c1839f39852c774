"""The node's part in moves: reports of outcomes and a local cut-off."""

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
from mustardspur_moves.slots import Slot
from mustardspur_moves.tally import Tally
from mustardspur_moves.tuning import tuning_of
from mustardspur_moves.verdict import judge

# Windows of a node's own evidence, which costs no control bytes.
WINDOW_S: Final = 1.0
# Windows that are kept one by one; older ones are summed up.
KEPT_WINDOWS: Final = 60
# Factor on the threshold: each of many nodes judges the same version.
CAUTION: Final = 20.0
# From this evidence ratio a node does not wait for its next report.
PROMPT_RATIO: Final = 1.0
# New failures after which the node does not wait for its next tick.
CHECKED_FAILURES: Final = 4
_OPEN_STATES: Final = frozenset((MoveState.RUNNING, MoveState.PAUSED))


class MoveView(Protocol):
    """What is needed of a node's view of a service."""

    @property
    def config(self) -> ServiceConfig:
        """Configuration in force."""

    @property
    def targets_by_version(self) -> dict[str, list[Target]]:
        """Targets that may get calls, by version."""


class _Watched:
    """What a node keeps of one running move."""

    __slots__ = (
        'move',
        'policy',
        'evidence',
        'unchecked',
        'unreported',
        'failures',
        'reported_s',
        'new_targets',
        'evidence_ratio',
    )

    def __init__(self, move: Move, policy: MovePolicy, now_s: float) -> None:
        self.move = move
        self.policy = policy
        self.evidence = Evidence()
        self.unchecked: Cells = {}
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
        """Return whether the interval is over or the calls look bad."""
        if self.evidence_ratio >= PROMPT_RATIO:
            return True
        return now_s >= self.reported_s + tuning_of(self.policy).report_s

    def cell(self, target: Target, route: str, caller: str) -> Tally:
        """Return the counts since the last check that a call belongs to."""
        key = CellKey(
            target.version, target.id, route, target.data_centre, caller
        )
        tally = self.unchecked.get(key)
        if tally is None:
            tally = self.unchecked.setdefault(key, Tally.empty())
        return tally


class Guard:
    """Counts outcomes per running move, reports them, cuts off bad versions.

    Parameters
    ----------
    node : str
        Identifier of the node.
    send : callable
        Takes `Outcomes` and `CutOff` for the control instance.
    on_cut_off : callable
        Called with each cut-off that is new to this node, own or received.
    clock : callable
        Wall clock in seconds.
    """

    __slots__ = (
        'node',
        'cut_offs',
        '_send',
        '_on_cut_off',
        '_clock',
        '_watched',
        '_open_moves',
    )

    def __init__(
        self,
        node: str,
        send: Callable[[Outcomes | CutOff], None],
        on_cut_off: Callable[[CutOff], None],
        clock: Callable[[], float] = time.time,
    ) -> None:
        """Watch no move yet."""
        self.node = node
        self.cut_offs: dict[str, CutOff] = {}
        self._send = send
        self._on_cut_off = on_cut_off
        self._clock = clock
        self._watched: dict[str, _Watched] = {}
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
        """Count an attempt at a target of a moving version."""
        for watched in self._moves_at(view, route, target):
            watched.cell(target, route, caller).count(outcome, latency_ms)
            if outcome != 'ok' and target.version == watched.move.to_version:
                self._note_failures(watched, 1)

    def record_tally(
        self,
        view: MoveView,
        route: str,
        target: Target,
        tally: Tally,
        caller: str = '',
    ) -> None:
        """Count several attempts at once."""
        for watched in self._moves_at(view, route, target):
            watched.cell(target, route, caller).add(tally)
            if target.version == watched.move.to_version:
                self._note_failures(watched, tally.failures + tally.refusals)

    def tick(self) -> None:
        """Check every move and send the reports that are due.

        Call it about once a second.
        """
        for watched in list(self._watched.values()):
            self._check(watched)
            if watched.report_is_due(self._clock()):
                self._report(watched)

    def note_cut_off(self, cut_off: CutOff) -> None:
        """Take over a cut-off; it holds for as long as the node runs."""
        if cut_off.move not in self.cut_offs:
            self.cut_offs[cut_off.move] = cut_off
            self._on_cut_off(cut_off)

    def resend_cut_offs(self) -> None:
        """Send the known cut-offs of open moves to a new control instance."""
        for move, cut_off in self.cut_offs.items():
            if move in self._watched:
                self._send(cut_off)

    def _moves_at(
        self,
        view: MoveView,
        route: str,
        target: Target,
    ) -> list[_Watched]:
        """Return the moves that a call at a target is evidence for."""
        config = view.config
        if not config.moves:
            return []
        known = self._open_moves.get(config.service)
        if known is None or known.config is not config:
            known = self._watch(view)
        return [
            watched
            for watched in known.by_route.get(route, ())
            if target.version in watched.versions
        ]

    def _note_failures(self, watched: _Watched, failures: int) -> None:
        watched.failures += failures
        if watched.failures >= CHECKED_FAILURES:
            self._check(watched)

    def _watch(self, view: MoveView) -> '_OpenMoves':
        config = view.config
        self._forget_ended(config)
        by_route: dict[str, list[_Watched]] = {
            route.name: [] for route in config.profile.routes
        }
        for move in _open_moves(config):
            watched = self._watched_move(move, config)
            targets = view.targets_by_version.get(move.to_version, [])
            watched.new_targets = len(targets)
            for route in config.profile.routes:
                if route.weights.get(move.target_set, 0):
                    by_route[route.name].append(watched)
        opened = _OpenMoves(config=config, by_route=by_route)
        self._open_moves[config.service] = opened
        return opened

    def _watched_move(self, move: Move, config: ServiceConfig) -> _Watched:
        watched = self._watched.get(move.id)
        if watched is None:
            watched = _Watched(move, config.profile.move, self._clock())
            self._watched[move.id] = watched
        if watched.move.step != move.step:
            # Calls at another share are other evidence.
            self._check(watched)
            self._report(watched)
        watched.move = move
        watched.policy = config.profile.move
        return watched

    def _forget_ended(self, config: ServiceConfig) -> None:
        open_moves = {move.id for move in _open_moves(config)}
        for watched in list(self._watched.values()):
            move = watched.move
            if move.service == config.service and move.id not in open_moves:
                self._watched.pop(move.id)

    def _check(self, watched: _Watched) -> None:
        window = int(self._clock() // WINDOW_S)
        slot = Slot(step=watched.move.step, window=window)
        for key, tally in watched.unchecked.items():
            watched.evidence.add(slot, key, tally)
            watched.unreported.setdefault(key, Tally.empty()).add(tally)
        watched.unchecked = {}
        watched.failures = 0
        move = watched.move
        if move.id in self.cut_offs:
            return
        verdict = judge(
            move,
            watched.policy,
            watched.evidence,
            new_targets=watched.new_targets,
            window_s=WINDOW_S,
            caution=CAUTION,
        )
        watched.evidence_ratio = verdict.evidence_ratio
        watched.evidence.compact(window - KEPT_WINDOWS)
        if verdict.bad:
            cut_off = CutOff(
                move=move.id,
                version=move.to_version,
                origin=self.node,
                reason=f'more {verdict.kind} ({verdict.scope})',
            )
            self.note_cut_off(cut_off)
            self._send(cut_off)

    def _report(self, watched: _Watched) -> None:
        if not watched.unreported:
            return
        rows = [row_of(key, tally) for key, tally in watched.unreported.items()]
        watched.unreported = {}
        watched.reported_s = self._clock()
        self._send(
            Outcomes(move=watched.move.id, step=watched.move.step, rows=rows)
        )


class _OpenMoves(Record):
    """Watched moves by route, for one configuration."""

    __slots__ = ('config', 'by_route')
    config: ServiceConfig
    by_route: dict[str, list[_Watched]]


def _open_moves(config: ServiceConfig) -> list[Move]:
    return [move for move in config.moves if move.state in _OPEN_STATES]

"""Decides on running moves and proposes their steps to the log."""

import asyncio
import time
from collections.abc import Callable
from typing import Final, Protocol

from mustardspur_agreement.ports import CommittedLog
from mustardspur_core.edits import StepMove
from mustardspur_core.messages import CutOff, Outcomes
from mustardspur_core.profile import MovePolicy
from mustardspur_core.state import Move, MoveState
from mustardspur_core.wire import encode_frame
from mustardspur_moves import Action, Decision, Evidence, Slot, decide
from mustardspur_moves.tuning import tuning_of

from mustardspur_control.move_record import (
    DecisionHistory,
    InForce,
    MoveReport,
    TimedDecision,
    measured_shares,
    outcome_counts,
)
from mustardspur_control.ports import ConfigSource

# Interval of checks for due moves; each move has its own, longer interval
# between two decisions.
ROUND_INTERVAL_S: Final = 0.5
# Newest windows of evidence that stay separate; older ones are merged.
MAX_SEPARATE_WINDOWS: Final = 90
# Moves whose decisions are retained for operators, ended ones included.
MAX_DECISION_HISTORIES: Final = 200


Decide = Callable[[Move, MovePolicy, Evidence, float], Decision]


class InForceSource(Protocol):
    """Reports on which nodes a configuration is in force."""

    def in_force(self, service: str, index: int) -> InForce:
        """Return a service's nodes by whether they have reached an index."""


class MoveDriver:
    """Advances the running moves while its instance is the leader.

    Explanation
    ===========

    The state of a move is replicated in the log; the evidence is only in
    memory. A new leader starts without evidence, so it requires calls at the
    current share before it raises that share. Cut-offs are stored whether or
    not the instance is the leader, and are never removed.

    Parameters
    ----------
    log : CommittedLog
        Log that the steps are proposed to.
    source : ConfigSource
        Configurations and running moves of this instance.
    in_force_source : InForceSource
        Nodes on which a configuration is in force.
    on_cut_off : callable
        Called once for each new cut-off, to send it to the connected nodes.
    clock : callable
        Wall clock in seconds.
    decide_move : callable
        Returns the decision on a move; benchmarks replace the default.
    """

    __slots__ = (
        'cut_offs',
        '_log',
        '_source',
        '_in_force_source',
        '_on_cut_off',
        '_clock',
        '_evidence',
        '_histories',
        '_decide',
        '_decided_s',
        '_term',
    )

    def __init__(
        self,
        log: CommittedLog,
        source: ConfigSource,
        in_force_source: InForceSource,
        on_cut_off: Callable[[CutOff], object],
        clock: Callable[[], float] = time.time,
        decide_move: Decide = decide,
    ) -> None:
        """Initialise without evidence, decisions or cut-offs."""
        self._decide = decide_move
        self.cut_offs: dict[str, CutOff] = {}
        self._histories: dict[str, DecisionHistory] = {}
        self._log = log
        self._source = source
        self._in_force_source = in_force_source
        self._on_cut_off = on_cut_off
        self._clock = clock
        self._evidence: dict[str, Evidence] = {}
        self._decided_s: dict[str, float] = {}
        self._term = log.term

    def collect(self, outcomes: Outcomes) -> None:
        """Add outcomes from a node, or merged by another control instance."""
        move = self._running().get(outcomes.move)
        if move is None:
            return
        window_s = tuning_of(_policy(self._source, move)).window_s
        step = min(outcomes.step, move.step)
        slot = Slot(step=step, window=int(self._clock() // window_s))
        evidence = self._evidence.setdefault(move.id, Evidence())
        evidence.add_rows(slot, outcomes.rows)

    def accept_cut_off(self, cut_off: CutOff) -> None:
        """Store and forward a new cut-off; the next round takes back."""
        if cut_off.move not in self.cut_offs:
            self.cut_offs[cut_off.move] = cut_off
            self._decided_s.pop(cut_off.move, None)
            self._on_cut_off(cut_off)

    async def run(self) -> None:
        """Run rounds until the task is cancelled."""
        while True:
            await self.round()
            await asyncio.sleep(ROUND_INTERVAL_S)

    async def round(self) -> None:
        """Decide on every move that is due, if this instance is the leader."""
        self._discard_outdated()
        if not self._log.is_leader:
            return
        moves = self._running()
        await asyncio.gather(
            *(
                self._advance(move, _superseding_move(move, moves))
                for move in moves.values()
                if self._is_due(move)
            )
        )

    def record(self, move: Move) -> MoveReport:
        """Return the record of a move, with the evidence of this instance."""
        evidence = self._evidence.get(move.id, Evidence())
        history = self._histories.get(move.id, DecisionHistory.empty())
        return MoveReport(
            move=move,
            share_by_data_centre=measured_shares(move, evidence),
            counts=outcome_counts(evidence),
            decisions=list(history.decisions),
            in_force=history.in_force,
        )

    def _running(self) -> dict[str, Move]:
        return {move.id: move for move in self._source.running_moves()}

    def _discard_outdated(self) -> None:
        """Discard the evidence of ended moves, all evidence in a new term."""
        if self._term != self._log.term:
            self._term = self._log.term
            self._evidence.clear()
            self._decided_s.clear()
        running = self._running()
        for ended in self._evidence.keys() - running.keys():
            self._evidence.pop(ended)
        for oldest in list(self._histories)[:-MAX_DECISION_HISTORIES]:
            self._histories.pop(oldest)

    def _is_due(self, move: Move) -> bool:
        decided_s = self._decided_s.get(move.id)
        if decided_s is None:
            return True
        decision_interval_s = tuning_of(
            _policy(self._source, move)
        ).decision_interval_s
        return self._clock() >= decided_s + decision_interval_s

    async def _advance(self, move: Move, superseding: Move | None) -> None:
        self._decided_s[move.id] = self._clock()
        decision = self._decide_now(move, superseding)
        history = self._histories.setdefault(move.id, DecisionHistory.empty())
        if decision.action == Action.FINISH:
            decision = self._finish_when_in_force(move, decision, history)
        history.add(TimedDecision(at_s=self._clock(), decision=decision))
        if decision.action == Action.TAKE_BACK:
            self._cut_off_version(move, decision)
        if decision.action != Action.WAIT:
            await self._propose(move, decision)

    def _decide_now(self, move: Move, superseding: Move | None) -> Decision:
        evidence = self._evidence.setdefault(move.id, Evidence())
        now_s = self._clock()
        policy = _policy(self._source, move)
        decision = self._decide(move, policy, evidence, now_s)
        window = int(now_s // tuning_of(policy).window_s)
        evidence.compact(window - MAX_SEPARATE_WINDOWS)
        cut_off = self.cut_offs.get(move.id)
        if cut_off:
            return _take_back_decision(
                decision, f'cut off by {cut_off.origin}: {cut_off.reason}'
            )
        if superseding:
            return _take_back_decision(
                decision, f'replaced by move {superseding.id}'
            )
        return decision

    def _finish_when_in_force(
        self,
        move: Move,
        decision: Decision,
        history: DecisionHistory,
    ) -> Decision:
        """Make the decision a wait while the last step is not in force.

        Nodes without a stream to a control instance do not delay the end.
        """
        config = self._source.config(move.service)
        index = config.index if config else 0
        in_force = self._in_force_source.in_force(move.service, index)
        history.in_force = in_force
        if in_force.waiting:
            decision.action = Action.WAIT.value
            decision.state = move.state
            names = ', '.join(in_force.waiting)
            decision.reason = f'not in force yet on {names}'
        elif in_force.unreachable:
            names = ', '.join(in_force.unreachable)
            decision.reason = (
                f'in force on every reachable node, not on {names}'
            )
        else:
            decision.reason = 'in force on every node'
        return decision

    def _cut_off_version(self, move: Move, decision: Decision) -> None:
        """Stop the traffic to the new version at once, without a quorum."""
        self.accept_cut_off(
            CutOff(
                move=move.id,
                version=move.to_version,
                origin=self._log.leader or 'leader',
                reason=decision.reason,
            )
        )

    async def _propose(self, move: Move, decision: Decision) -> None:
        """Propose a step; after an error the next round decides again."""
        step = StepMove(
            move=move.id,
            expected_step=move.step,
            state=decision.state,
            share=decision.share,
            reason=decision.reason,
            figures=decision.figures,
            at_s=self._clock(),
        )
        proposed = await self._log.propose(encode_frame(step))
        if proposed.is_error():
            self._decided_s.pop(move.id, None)


def _policy(source: ConfigSource, move: Move) -> MovePolicy:
    config = source.config(move.service)
    if config is None:
        raise LookupError(
            f'move {move.id}: service {move.service!r} follows no profile'
        )
    return config.profile.move


def _take_back_decision(decision: Decision, reason: str) -> Decision:
    return Decision(
        action=Action.TAKE_BACK.value,
        state=str(MoveState.TAKEN_BACK),
        share=0,
        reason=reason,
        figures=decision.figures,
    )


def _superseding_move(move: Move, moves: dict[str, Move]) -> Move | None:
    """Return the newest later running move of the same target set."""
    later = [
        other
        for other in moves.values()
        if other.service == move.service
        and other.target_set == move.target_set
        and _index(other) > _index(move)
    ]
    return max(later, key=_index, default=None)


def _index(move: Move) -> int:
    return int(move.id.rpartition(':')[2])

"""The leader's part in moves: evidence, decisions, steps in the log."""

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
    DecisionNote,
    InForce,
    MoveNotes,
    MoveRecord,
    counts_by_place,
    measured_shares,
)
from mustardspur_control.ports import ConfigSource

# Between two rounds; each move is decided at its own, longer interval.
ROUND_S: Final = 0.5
# Windows of evidence that are kept one by one; older ones are summed up.
KEPT_WINDOWS: Final = 90
# Records of ended moves that are kept for operators.
KEPT_RECORDS: Final = 200


Decide = Callable[[Move, MovePolicy, Evidence, float], Decision]


class ForceSource(Protocol):
    """Where the driver learns on which nodes a configuration is in force."""

    def in_force(self, service: str, index: int) -> InForce:
        """Return the nodes of a service by whether they have an index."""


class MoveDriver:
    """Drives the moves while its instance leads.

    Explanation
    ===========

    The state of a move is in the log, the evidence is in memory only. A new
    leader starts without evidence, so it asks for calls at the current share
    before it raises that share again. Cut-offs are kept whether or not the
    instance leads; they are only ever added.

    Parameters
    ----------
    log : CommittedLog
        Takes the steps.
    source : ConfigSource
        Store of this instance.
    forces : ForceSource
        Nodes in force.
    on_cut_off : callable
        Called once for each cut-off, to pass it to all nodes in reach.
    clock : callable
        Wall clock in seconds.
    decide_move : callable
        Decides; benchmarks compare others with the default.
    """

    __slots__ = (
        'cut_offs',
        '_log',
        '_source',
        '_forces',
        '_on_cut_off',
        '_clock',
        '_evidence',
        '_notes',
        '_decide',
        '_decided_s',
        '_term',
    )

    def __init__(
        self,
        log: CommittedLog,
        source: ConfigSource,
        forces: ForceSource,
        on_cut_off: Callable[[CutOff], object],
        clock: Callable[[], float] = time.time,
        decide_move: Decide = decide,
    ) -> None:
        """Start without evidence."""
        self._decide = decide_move
        self.cut_offs: dict[str, CutOff] = {}
        self._notes: dict[str, MoveNotes] = {}
        self._log = log
        self._source = source
        self._forces = forces
        self._on_cut_off = on_cut_off
        self._clock = clock
        self._evidence: dict[str, Evidence] = {}
        self._decided_s: dict[str, float] = {}
        self._term = log.term

    def collect(self, outcomes: Outcomes) -> None:
        """Add a report, of a node or merged by a control instance."""
        move = self._running().get(outcomes.move)
        if move is None:
            return
        window_s = tuning_of(_policy(self._source, move)).window_s
        step = min(outcomes.step, move.step)
        slot = Slot(step=step, window=int(self._clock() // window_s))
        evidence = self._evidence.setdefault(move.id, Evidence())
        evidence.add_rows(slot, outcomes.rows)

    def accept_cut_off(self, cut_off: CutOff) -> None:
        """Keep a cut-off and pass it on; the next round takes back."""
        if cut_off.move not in self.cut_offs:
            self.cut_offs[cut_off.move] = cut_off
            self._decided_s.pop(cut_off.move, None)
            self._on_cut_off(cut_off)

    async def run(self) -> None:
        """Drive the moves until the task is cancelled."""
        while True:
            await self.round()
            await asyncio.sleep(ROUND_S)

    async def round(self) -> None:
        """Decide on every move that is due."""
        self._forget()
        if not self._log.is_leader:
            return
        moves = self._running()
        await asyncio.gather(
            *(
                self._drive(move, _successor(move, moves))
                for move in moves.values()
                if self._is_due(move)
            )
        )

    def record(self, move: Move) -> MoveRecord:
        """Return the record of a move, as far as this instance knows it."""
        evidence = self._evidence.get(move.id, Evidence())
        notes = self._notes.get(move.id, MoveNotes.empty())
        return MoveRecord(
            move=move,
            share_by_data_centre=measured_shares(move, evidence),
            counts=counts_by_place(evidence),
            decisions=list(notes.decisions),
            in_force=notes.in_force,
        )

    def _running(self) -> dict[str, Move]:
        return {move.id: move for move in self._source.running_moves()}

    def _forget(self) -> None:
        """Drop the evidence of ended moves, and all of it in a new term."""
        if self._term != self._log.term:
            self._term = self._log.term
            self._evidence.clear()
            self._decided_s.clear()
        running = self._running()
        for ended in self._evidence.keys() - running.keys():
            self._evidence.pop(ended)
        for oldest in list(self._notes)[:-KEPT_RECORDS]:
            self._notes.pop(oldest)

    def _is_due(self, move: Move) -> bool:
        decided_s = self._decided_s.get(move.id)
        if decided_s is None:
            return True
        decision_interval_s = tuning_of(_policy(self._source, move)).decision_interval_s
        return self._clock() >= decided_s + decision_interval_s

    async def _drive(self, move: Move, successor: Move | None) -> None:
        self._decided_s[move.id] = self._clock()
        decision = self._decision(move, successor)
        notes = self._notes.setdefault(move.id, MoveNotes.empty())
        if decision.action == Action.FINISH:
            decision = self._when_in_force(move, decision, notes)
        notes.add(DecisionNote(at_s=self._clock(), decision=decision))
        if decision.action == Action.TAKE_BACK:
            self._cut_off_everywhere(move, decision)
        if decision.action != Action.WAIT:
            await self._propose(move, decision)

    def _decision(self, move: Move, successor: Move | None) -> Decision:
        evidence = self._evidence.setdefault(move.id, Evidence())
        now_s = self._clock()
        policy = _policy(self._source, move)
        decision = self._decide(move, policy, evidence, now_s)
        window = int(now_s // tuning_of(policy).window_s)
        evidence.compact(window - KEPT_WINDOWS)
        cut_off = self.cut_offs.get(move.id)
        if cut_off:
            return _taken_back(
                decision, f'cut off by {cut_off.origin}: {cut_off.reason}'
            )
        if successor:
            return _taken_back(decision, f'replaced by move {successor.id}')
        return decision

    def _when_in_force(
        self,
        move: Move,
        decision: Decision,
        notes: MoveNotes,
    ) -> Decision:
        """Turn the end of a move into a wait while a node lacks its step."""
        config = self._source.config(move.service)
        index = config.index if config else 0
        in_force = self._forces.in_force(move.service, index)
        notes.in_force = in_force
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

    def _cut_off_everywhere(self, move: Move, decision: Decision) -> None:
        """End the traffic at once, without a quorum."""
        self.accept_cut_off(
            CutOff(
                move=move.id,
                version=move.to_version,
                origin=self._log.leader or 'leader',
                reason=decision.reason,
            )
        )

    async def _propose(self, move: Move, decision: Decision) -> None:
        """Propose a step; one that fails is decided again next time."""
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
        raise LookupError(f'{move.id}: its service follows no profile')
    return config.profile.move


def _taken_back(decision: Decision, reason: str) -> Decision:
    return Decision(
        action=Action.TAKE_BACK.value,
        state=str(MoveState.TAKEN_BACK),
        share=0,
        reason=reason,
        figures=decision.figures,
    )


def _successor(move: Move, moves: dict[str, Move]) -> Move | None:
    """Return a later running move of the same target set."""
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

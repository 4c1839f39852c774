"""Applies the steps of moves that the leader decides on evidence."""

from collections.abc import Iterator
from typing import Final

from mustardspur_core.edits import AnswerStatus, StepMove
from mustardspur_core.findings import Finding
from mustardspur_core.record import replaced
from mustardspur_core.state import Move, MoveState

from mustardspur_control.store.handlers import Effect, effect, entry_handler
from mustardspur_control.store.moves import commit_step, decision_of
from mustardspur_control.store.planning import ACTIVE_STATES
from mustardspur_control.store.records import StoreState
from mustardspur_control.store.results import (
    accepted,
    conflict,
    edit_finding,
    refused,
)

LEADER: Final = 'leader'


@entry_handler(StepMove)
def apply_step(state: StoreState, index: int, step: StepMove) -> Effect:
    """Advance a move if the step follows its current one."""
    record = state.moves.get(step.move)
    if record is None:
        finding = edit_finding('$.move', 'a known move', step.move)
        return effect(refused(index, [finding], AnswerStatus.UNKNOWN))
    move = record.move
    if step.expected_step != move.step or move.state not in ACTIVE_STATES:
        last = record.decisions[-1]
        line = f'move is {move.state} at step {move.step}'
        return effect(conflict(index, move.step, last.by, [line]))
    findings = list(_check_step(move, step))
    if findings:
        return effect(refused(index, findings))
    after = _move_after_step(move, step)
    decision = decision_of(after, index, step.at_s, LEADER, step.figures)
    commit_step(state, after, decision)
    return effect(accepted(index, after.step, []), [move.service])


def _check_step(move: Move, step: StepMove) -> Iterator[Finding]:
    states = [state.value for state in MoveState]
    if step.state not in states:
        listed = ', '.join(states)
        yield edit_finding('$.state', f'one of {listed}', step.state)
    # The comparison is also false for NaN.
    if not 0 <= step.share <= 1:
        yield edit_finding('$.share', 'a share from 0 to 1', step.share)
    if step.state == MoveState.DONE and step.share != 1:
        yield edit_finding('$.share', 'share 1 where done', step.share)
    in_time = step.at_s < move.by_s
    if move.state == MoveState.PAUSED and in_time and step.share > move.share:
        yield edit_finding(
            '$.share',
            f'at most {move.share} while paused',
            step.share,
        )


def _move_after_step(move: Move, step: StepMove) -> Move:
    taken_back = step.state == MoveState.TAKEN_BACK
    return replaced(
        move,
        state=step.state,
        share=float(0) if taken_back else step.share,
        step=move.step + 1,
        reason=step.reason,
    )

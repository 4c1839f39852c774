"""Applies operators' orders to moves."""

from types import MappingProxyType
from typing import Final

from mustardspur_core.edits import AnswerStatus, MoveOrder, OrderMove
from mustardspur_core.record import Record, replaced
from mustardspur_core.state import Move, MoveState

from mustardspur_control.store.handlers import Effect, effect, entry_handler
from mustardspur_control.store.moves import (
    commit_step,
    decision_of,
    is_newest,
)
from mustardspur_control.store.records import MoveRecord, StoreState
from mustardspur_control.store.results import (
    accepted,
    conflict,
    edit_finding,
    refused,
)


class _OrderEffect(Record):
    __slots__ = ('state', 'share', 'verb')
    state: MoveState
    share: float | None
    verb: str


_PAUSE = _OrderEffect(state=MoveState.PAUSED, share=None, verb='paused')
_RESUME = _OrderEffect(state=MoveState.RUNNING, share=None, verb='resumed')
_TAKE_BACK = _OrderEffect(
    state=MoveState.TAKEN_BACK,
    share=float(0),
    verb='taken back',
)
# A forced move stays running until it is in force on the nodes, which the
# leader records in a later step.
_FORCE = _OrderEffect(state=MoveState.RUNNING, share=float(1), verb='forced')

_EFFECTS_BY_ORDER: Final = MappingProxyType(
    {
        (MoveOrder.PAUSE, MoveState.RUNNING): _PAUSE,
        (MoveOrder.RESUME, MoveState.PAUSED): _RESUME,
        (MoveOrder.TAKE_BACK, MoveState.RUNNING): _TAKE_BACK,
        (MoveOrder.TAKE_BACK, MoveState.PAUSED): _TAKE_BACK,
        (MoveOrder.TAKE_BACK, MoveState.DONE): _TAKE_BACK,
        (MoveOrder.FORCE, MoveState.RUNNING): _FORCE,
        (MoveOrder.FORCE, MoveState.PAUSED): _FORCE,
    }
)


@entry_handler(OrderMove)
def apply_order(state: StoreState, index: int, edit: OrderMove) -> Effect:
    """Pause, resume, take back or force a move."""
    record = state.moves.get(edit.move)
    if record is None:
        finding = edit_finding('$.move', 'a known move', edit.move)
        return effect(refused(index, [finding], AnswerStatus.UNKNOWN))
    move = record.move
    ordered = _EFFECTS_BY_ORDER.get(
        (MoveOrder(edit.order), MoveState(move.state))
    )
    if ordered is None:
        return _order_conflict(index, edit, record, f'move is {move.state}')
    if not is_newest(state, move):
        return _order_conflict(
            index, edit, record, 'a later edit replaced the move'
        )
    after = _move_after_order(move, ordered, edit)
    decision = decision_of(after, index, edit.at_s, edit.operator)
    commit_step(state, after, decision)
    line = f'{move.id}: {move.state} -> {after.state}, share {after.share}'
    return effect(accepted(index, after.step, [line]), [move.service])


def _move_after_order(
    move: Move, ordered: _OrderEffect, edit: OrderMove
) -> Move:
    share = move.share if ordered.share is None else ordered.share
    return replaced(
        move,
        state=ordered.state.value,
        share=share,
        step=move.step + 1,
        reason=f'{ordered.verb} by {edit.operator}',
    )


def _order_conflict(
    index: int,
    edit: OrderMove,
    record: MoveRecord,
    reason: str,
) -> Effect:
    last = record.decisions[-1]
    line = f'cannot {edit.order}: {reason} ({last.reason})'
    return effect(conflict(index, record.move.step, last.by, [line]))

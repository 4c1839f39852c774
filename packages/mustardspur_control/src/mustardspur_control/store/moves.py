"""Records of moves with their decisions."""

from typing import Final

from mustardspur_core.state import Move

from mustardspur_control.store.records import (
    Decision,
    FollowedService,
    MoveRecord,
    StoreState,
)

# A move takes tens of steps; the start and the newest are kept.
MAX_DECISIONS: Final = 200
# Several days of moves at the design size, for reports after the fact.
MAX_MOVES: Final = 2000


def record_step(
    record: MoveRecord,
    move: Move,
    decision: Decision,
) -> MoveRecord:
    """Return a move's record after a further decision."""
    decisions = [*record.decisions, decision]
    if len(decisions) > MAX_DECISIONS:
        decisions = [decisions[0], *decisions[2:]]
    return MoveRecord(
        move=move,
        profile=record.profile,
        number=record.number,
        decisions=decisions,
    )


def decision_of(
    move: Move,
    index: int,
    at_s: float,
    by: str,
    figures: dict[str, float] | None = None,
) -> Decision:
    """Return the decision that led to a move as it is now.

    Parameters
    ----------
    move : Move
        The move after the decision.
    index : int
        Log index of the entry.
    at_s : float
        Time of the entry.
    by : str
        Who decided.
    figures : dict of float, optional
        Numbers that the decision rests on.
    """
    return Decision(
        step=move.step,
        index=index,
        at_s=at_s,
        by=by,
        state=move.state,
        share=move.share,
        reason=move.reason,
        figures=dict(figures or {}),
    )


def newest_moves(state: StoreState, followed: FollowedService) -> list[Move]:
    """Return the newest move of each target set of a service."""
    return [state.moves[name].move for name in followed.move_ids.values()]


def is_newest(state: StoreState, move: Move) -> bool:
    """Whether no later edit replaced a move in its service."""
    followed = state.services[move.service]
    return followed.move_ids.get(move.target_set) == move.id


def drop_oldest_moves(state: StoreState) -> None:
    """Drop the oldest records that no service's configuration needs."""
    surplus = len(state.moves) - MAX_MOVES
    if surplus <= 0:
        return
    unneeded = [
        record.move.id
        for record in state.moves.values()
        if not is_newest(state, record.move)
    ]
    for name in unneeded[:surplus]:
        state.moves.pop(name)


def commit_step(state: StoreState, move: Move, decision: Decision) -> None:
    """Take over a move's next step and the new index of its service."""
    state.moves[move.id] = record_step(state.moves[move.id], move, decision)
    followed = state.services[move.service]
    state.services[move.service] = FollowedService(
        profile=followed.profile,
        index=decision.index,
        move_ids=followed.move_ids,
    )

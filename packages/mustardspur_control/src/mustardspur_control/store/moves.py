"""Updates of move records and their decisions."""

from typing import Final

from mustardspur_core.state import Move

from mustardspur_control.store.records import (
    FollowedService,
    MoveRecord,
    StoredDecision,
    StoreState,
)

# A move takes tens of steps. Beyond the limit the oldest decisions are
# removed, except the first, which records the start.
MAX_DECISIONS: Final = 200
# Several days of moves at the design size, for reports on ended moves.
MAX_MOVES: Final = 2000


def record_step(
    record: MoveRecord,
    move: Move,
    decision: StoredDecision,
) -> MoveRecord:
    """Return a move's record with a further decision appended."""
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
) -> StoredDecision:
    """Return the decision that brought a move to its current state.

    Parameters
    ----------
    move : Move
        The move after the decision.
    index : int
        Log index of the entry.
    at_s : float
        Time of the entry in seconds.
    by : str
        Operator's name, or ``leader``.
    figures : dict of float, optional
        Numbers that the decision is based on.
    """
    return StoredDecision(
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
    """Return whether no later edit replaced a move in its service."""
    followed = state.services[move.service]
    return followed.move_ids.get(move.target_set) == move.id


def remove_oldest_moves(state: StoreState) -> None:
    """Remove the oldest records beyond the limit, except newest moves."""
    surplus = len(state.moves) - MAX_MOVES
    if surplus <= 0:
        return
    removable = [
        record.move.id
        for record in state.moves.values()
        if not is_newest(state, record.move)
    ]
    for name in removable[:surplus]:
        state.moves.pop(name)


def commit_step(
    state: StoreState, move: Move, decision: StoredDecision
) -> None:
    """Store a move's next step and the new index of its service."""
    state.moves[move.id] = record_step(state.moves[move.id], move, decision)
    followed = state.services[move.service]
    state.services[move.service] = FollowedService(
        profile=followed.profile,
        index=decision.index,
        move_ids=followed.move_ids,
    )

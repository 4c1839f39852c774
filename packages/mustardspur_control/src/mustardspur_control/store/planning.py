"""Decides which moves of a service an edit starts and ends."""

from collections.abc import Iterator
from datetime import datetime
from typing import Final

from mustardspur_core.profile import MovePolicy, Profile
from mustardspur_core.record import Record, replaced
from mustardspur_core.state import Move, MoveState

ACTIVE_STATES: Final = frozenset((MoveState.RUNNING, MoveState.PAUSED))


class ServiceChange(Record):
    """A change of a service's profile, by an edit of it or by a follow.

    Parameters
    ----------
    follows_other : bool
        Whether the service now follows a profile of another name.
    old, new : Profile
        The profile before and after.
    moves_by_set : dict of Move
        Newest move by target set, before the change.
    index : int
        Log index of the edit.
    at_s : float
        Time of the edit.
    """

    __slots__ = (
        'service',
        'follows_other',
        'old',
        'new',
        'moves_by_set',
        'index',
        'at_s',
    )
    service: str
    follows_other: bool
    old: Profile
    new: Profile
    moves_by_set: dict[str, Move]
    index: int
    at_s: float


class ServicePlan(Record):
    """Changes to the moves of a service.

    Parameters
    ----------
    ended, started : list of Move
        Moves that are taken back, in their new state, and new moves.
    move_ids : dict of str
        Newest move by target set after the change.
    """

    __slots__ = ('service', 'ended', 'started', 'move_ids')
    service: str
    ended: list[Move]
    started: list[Move]
    move_ids: dict[str, str]

    def lines(self) -> Iterator[str]:
        """Yield one line for each started or ended move."""
        for move in self.ended:
            yield f'takes back {move.id}, on {move.from_version}'
        for started in self.started:
            versions = f'{started.from_version} -> {started.to_version}'
            yield f'starts {started.id}, {versions}'


def plan_service(change: ServiceChange) -> ServicePlan:
    """Decide which moves of a service start and end.

    Explanation
    ===========

    For each target set that the old and the new profile have in common:

    - an edit of the same profile that leaves the version unchanged has no
      effect on moves, so a move that was taken back does not restart;
    - a running or paused move to the new version continues;
    - any other running or paused move is taken back, which makes its old
      version the current one;
    - a move starts if the current version is not the new one.

    A target set that is new to the service has no old version and so no
    move. A running or paused move of a removed set is taken back.
    """
    plan = ServicePlan(
        service=change.service,
        ended=[],
        started=[],
        move_ids={},
    )
    for name in change.new.target_sets:
        if name in change.old.target_sets:
            _plan_target_set(change, name, plan)
    for removed in change.moves_by_set:
        if removed not in change.new.target_sets:
            _end_move(change, removed, plan)
    return plan


def current_version(move: Move | None, profile_version: str) -> str:
    """Return the version that a service has when no move is active."""
    if move is None:
        return profile_version
    if move.state == MoveState.DONE:
        return move.to_version
    return move.from_version


def move_deadline_s(policy: MovePolicy, at_s: float) -> float:
    """Return the deadline in seconds of a move that starts at ``at_s``."""
    if policy.by is not None:
        return datetime.fromisoformat(policy.by).timestamp()
    return at_s + (policy.within_s or 0)


def _plan_target_set(
    change: ServiceChange, name: str, plan: ServicePlan
) -> None:
    move = change.moves_by_set.get(name)
    if move is not None:
        plan.move_ids[name] = move.id
    version = change.new.target_sets[name].version
    old_version = change.old.target_sets[name].version
    if version == old_version and not change.follows_other:
        return
    if move is not None and move.state in ACTIVE_STATES:
        if move.to_version == version:
            return
        _end_move(change, name, plan)
    if current_version(move, old_version) != version:
        started = _new_move(change, name, current_version(move, old_version))
        plan.started.append(started)
        plan.move_ids[name] = started.id


def _new_move(change: ServiceChange, name: str, from_version: str) -> Move:
    return Move(
        id=f'{change.service}:{name}:{change.index}',
        service=change.service,
        target_set=name,
        from_version=from_version,
        to_version=change.new.target_sets[name].version,
        started_s=change.at_s,
        by_s=move_deadline_s(change.new.move, change.at_s),
        state=MoveState.RUNNING.value,
        share=float(0),
        step=0,
        reason='started by an edit',
    )


def _end_move(change: ServiceChange, name: str, plan: ServicePlan) -> None:
    move = change.moves_by_set[name]
    if move.state not in ACTIVE_STATES:
        return
    plan.ended.append(
        replaced(
            move,
            state=MoveState.TAKEN_BACK.value,
            share=float(0),
            step=move.step + 1,
            reason=f'replaced by the edit at index {change.index}',
        ),
    )

"""Moves that an edit starts and ends in one service."""

from collections.abc import Iterator
from datetime import datetime
from typing import Final

from mustardspur_core.profile import MovePolicy, Profile
from mustardspur_core.record import Record, replaced
from mustardspur_core.state import Move, MoveState

ACTIVE_STATES: Final = frozenset((MoveState.RUNNING, MoveState.PAUSED))


class ServiceChange(Record):
    """A service whose profile changes, by an edit of it or by another one.

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
    """What a change does to the moves of a service.

    Parameters
    ----------
    ended, started : list of Move
        Moves after the change that it takes back, and new ones.
    move_ids : dict of str
        Newest move by target set after the change.
    """

    __slots__ = ('service', 'ended', 'started', 'move_ids')
    service: str
    ended: list[Move]
    started: list[Move]
    move_ids: dict[str, str]

    def lines(self) -> Iterator[str]:
        """Describe the plan for the operator."""
        for move in self.ended:
            yield f'takes back {move.id}, on {move.from_version}'
        for started in self.started:
            versions = f'{started.from_version} -> {started.to_version}'
            yield f'starts {started.id}, {versions}'


def plan_service(change: ServiceChange) -> ServicePlan:
    """Decide what a change does to the moves of a service.

    Explanation
    ===========

    For each target set that the old and the new profile have in common:

    - the same version in an edit of the same profile leaves everything as
      it is, a move that was taken back included;
    - a running move to the version that the new profile names goes on;
    - any other running move is taken back, and its old version counts as
      the one that the service is on;
    - a move starts if the service is not on the version that is named.

    A target set that is new to the service has no old version and so no
    move; a running move of a set that is gone is taken back.
    """
    plan = ServicePlan(
        service=change.service,
        ended=[],
        started=[],
        move_ids={},
    )
    for name in change.new.target_sets:
        if name in change.old.target_sets:
            _plan_set(change, name, plan)
    for gone in change.moves_by_set:
        if gone not in change.new.target_sets:
            _end(change, gone, plan)
    return plan


def held_version(move: Move | None, profile_version: str) -> str:
    """Return the version that a service is on while no move runs."""
    if move is None:
        return profile_version
    if move.state == MoveState.DONE:
        return move.to_version
    return move.from_version


def stated_time_s(policy: MovePolicy, at_s: float) -> float:
    """Return the time by which a move that starts now has ended."""
    if policy.by is not None:
        return datetime.fromisoformat(policy.by).timestamp()
    return at_s + (policy.within_s or 0)


def _plan_set(change: ServiceChange, name: str, plan: ServicePlan) -> None:
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
        _end(change, name, plan)
    if held_version(move, old_version) != version:
        started = _start(change, name, held_version(move, old_version))
        plan.started.append(started)
        plan.move_ids[name] = started.id


def _start(change: ServiceChange, name: str, from_version: str) -> Move:
    return Move(
        id=f'{change.service}:{name}:{change.index}',
        service=change.service,
        target_set=name,
        from_version=from_version,
        to_version=change.new.target_sets[name].version,
        started_s=change.at_s,
        by_s=stated_time_s(change.new.move, change.at_s),
        state=MoveState.RUNNING.value,
        share=float(0),
        step=0,
        reason='started by an edit',
    )


def _end(change: ServiceChange, name: str, plan: ServicePlan) -> None:
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

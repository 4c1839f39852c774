"""Applies edits that set the profile of a service."""

from typing import Final

from mustardspur_core.edits import AnswerStatus, FollowProfile

from mustardspur_control.store.commits import commit_plan
from mustardspur_control.store.handlers import Effect, effect, entry_handler
from mustardspur_control.store.moves import newest_moves, remove_oldest_moves
from mustardspur_control.store.planning import (
    ServiceChange,
    ServicePlan,
    move_deadline_s,
    plan_service,
)
from mustardspur_control.store.records import StoredProfile, StoreState
from mustardspur_control.store.results import accepted, edit_finding, refused

MAX_LISTED_CHARS: Final = 500


@entry_handler(FollowProfile)
def apply_follow(state: StoreState, index: int, edit: FollowProfile) -> Effect:
    """Set the profile that a service follows."""
    stored = state.profiles.get(edit.profile)
    if stored is None:
        return _unknown_profile(state, index, edit)
    followed = state.services.get(edit.service)
    before = followed.profile if followed else 'no profile'
    # A repeated follow edit has no effect: setup scripts repeat it, and it
    # must not restart a move to a version that was taken back.
    if before == edit.profile:
        line = f'{edit.service} already follows {before}'
        return effect(accepted(index, stored.number, [line]))
    plan = _plan_follow(state, index, edit, stored)
    if plan.started and _deadline_has_passed(stored, edit.at_s):
        return _refuse_passed_deadline(index, stored)
    commit_plan(state, plan, edit, index)
    remove_oldest_moves(state)
    line = f'{edit.service} follows {edit.profile}, before {before}'
    return effect(
        accepted(index, stored.number, [line, *plan.lines()]),
        [edit.service],
    )


def _plan_follow(
    state: StoreState,
    index: int,
    edit: FollowProfile,
    stored: StoredProfile,
) -> ServicePlan:
    followed = state.services.get(edit.service)
    if followed is None:
        return ServicePlan(
            service=edit.service,
            ended=[],
            started=[],
            move_ids={},
        )
    moves = newest_moves(state, followed)
    change = ServiceChange(
        service=edit.service,
        follows_other=True,
        old=state.profiles[followed.profile].profile,
        new=stored.profile,
        moves_by_set={move.target_set: move for move in moves},
        index=index,
        at_s=edit.at_s,
    )
    return plan_service(change)


def _deadline_has_passed(stored: StoredProfile, at_s: float) -> bool:
    return move_deadline_s(stored.profile.move, at_s) <= at_s


def _unknown_profile(
    state: StoreState,
    index: int,
    edit: FollowProfile,
) -> Effect:
    known = ', '.join(sorted(state.profiles)) or 'none yet'
    finding = edit_finding(
        '$.profile',
        f'a known profile: {known}'[:MAX_LISTED_CHARS],
        edit.profile,
    )
    return effect(refused(index, [finding], AnswerStatus.UNKNOWN))


def _refuse_passed_deadline(index: int, stored: StoredProfile) -> Effect:
    finding = edit_finding(
        '$.profile',
        'a profile whose stated time for moves is in the future',
        stored.profile.move.by,
    )
    return effect(refused(index, [finding]))

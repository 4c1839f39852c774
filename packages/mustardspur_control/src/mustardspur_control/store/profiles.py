"""Applies edits that replace profiles."""

from typing import Final

from mustardspur_core.edits import EditAnswer, PutProfile
from mustardspur_core.profile import Profile

from mustardspur_control.store.commits import commit_plan
from mustardspur_control.store.differences import profile_differences
from mustardspur_control.store.handlers import Effect, effect, entry_handler
from mustardspur_control.store.moves import newest_moves, remove_oldest_moves
from mustardspur_control.store.planning import (
    ServiceChange,
    ServicePlan,
    plan_service,
)
from mustardspur_control.store.records import (
    ProfileEdit,
    StoredProfile,
    StoreState,
)
from mustardspur_control.store.results import accepted, conflict

# An operator whose edit is further behind than this reads the profile again.
MAX_PROFILE_EDITS: Final = 16


@entry_handler(PutProfile)
def apply_put(state: StoreState, index: int, edit: PutProfile) -> Effect:
    """Replace a profile if the edit expects its current number."""
    name = edit.profile.name
    stored = state.profiles.get(name)
    number = stored.number if stored else 0
    if edit.expected_number != number:
        return effect(_conflict_answer(index, edit, stored))
    plans = _plan_services(state, index, edit, stored)
    changes = [f'profile {name} is new']
    if stored:
        changes = profile_differences(stored.profile, edit.profile)
    state.profiles[name] = _updated_profile(index, edit, stored, changes)
    for plan in plans:
        commit_plan(state, plan, edit, index)
        changes = [*changes, *plan.lines()]
    remove_oldest_moves(state)
    services = [planned.service for planned in plans]
    return effect(accepted(index, number + 1, changes), services)


def _conflict_answer(
    index: int,
    edit: PutProfile,
    stored: StoredProfile | None,
) -> EditAnswer:
    if stored is None:
        return conflict(index, 0, '', ['the profile does not exist'])
    expected = edit.expected_number
    if expected > stored.number:
        line = f'number {expected} was never given out'
        return conflict(index, stored.number, stored.edits[-1].operator, [line])
    later = [old for old in stored.edits if old.number > expected]
    changes = [
        f'number {old.number} by {old.operator}: {line}'
        for old in later
        for line in old.changes
    ]
    first = expected + 1
    last = later[0].number - 1
    if first <= last:
        changes.insert(0, f'numbers {first} to {last}: no longer listed')
    return conflict(index, stored.number, later[-1].operator, changes)


def _plan_services(
    state: StoreState,
    index: int,
    edit: PutProfile,
    stored: StoredProfile | None,
) -> list[ServicePlan]:
    if stored is None:
        return []
    return [
        plan_service(_service_change(state, name, stored.profile, edit, index))
        for name, followed in state.services.items()
        if followed.profile == edit.profile.name
    ]


def _service_change(
    state: StoreState,
    service: str,
    old: Profile,
    edit: PutProfile,
    index: int,
) -> ServiceChange:
    moves = newest_moves(state, state.services[service])
    return ServiceChange(
        service=service,
        follows_other=False,
        old=old,
        new=edit.profile,
        moves_by_set={move.target_set: move for move in moves},
        index=index,
        at_s=edit.at_s,
    )


def _updated_profile(
    index: int,
    edit: PutProfile,
    stored: StoredProfile | None,
    changes: list[str],
) -> StoredProfile:
    number = edit.expected_number + 1
    newest = ProfileEdit(
        number=number,
        index=index,
        operator=edit.operator,
        at_s=edit.at_s,
        changes=changes,
    )
    earlier = stored.edits if stored else []
    return StoredProfile(
        number=number,
        index=index,
        profile=edit.profile,
        edits=[*earlier, newest][-MAX_PROFILE_EDITS:],
    )

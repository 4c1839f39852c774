"""Writes the plan of a service to the applied state."""

from mustardspur_core.edits import FollowProfile, PutProfile

from mustardspur_control.store.moves import decision_of, record_step
from mustardspur_control.store.planning import ServicePlan
from mustardspur_control.store.records import (
    FollowedService,
    MoveRecord,
    StoreState,
)


def commit_plan(
    state: StoreState,
    plan: ServicePlan,
    edit: PutProfile | FollowProfile,
    index: int,
) -> None:
    """Store the ended and started moves and the service's new index.

    Parameters
    ----------
    state : StoreState
        The applied state, which already holds the new profile.
    plan : ServicePlan
        Changes to the moves of the service.
    edit : PutProfile or FollowProfile
        The edit that caused the plan.
    index : int
        Log index of the edit.
    """
    for ended in plan.ended:
        state.moves[ended.id] = record_step(
            state.moves[ended.id],
            ended,
            decision_of(ended, index, edit.at_s, edit.operator),
        )
    name = profile_name(edit)
    for started in plan.started:
        decision = decision_of(started, index, edit.at_s, edit.operator)
        state.moves[started.id] = MoveRecord(
            move=started,
            profile=name,
            number=state.profiles[name].number,
            decisions=[decision],
        )
    state.services[plan.service] = FollowedService(
        profile=name,
        index=index,
        move_ids=plan.move_ids,
    )


def profile_name(edit: PutProfile | FollowProfile) -> str:
    """Return the name of the profile that an edit replaces or follows."""
    if isinstance(edit, FollowProfile):
        return edit.profile
    return edit.profile.name

"""Effects of an action on the state of all instances."""

from collections.abc import Iterator

from mustardspur_agreement.checking.acks import with_acked
from mustardspur_agreement.checking.barriers import is_confirmed
from mustardspur_agreement.checking.elections import adopted, request_of
from mustardspur_agreement.checking.model import (
    FOLLOWER,
    LEADER,
    NAMES,
    Instance,
    State,
)
from mustardspur_agreement.checking.moves import Move
from mustardspur_agreement.checking.properties import (
    CURRENT,
    with_committed,
    with_leader,
)


def others(state: State, one: Instance, names: str) -> list[Instance]:
    """Return the other instances with one of some names."""
    return [
        other
        for other in state.instances
        if other.name != one.name and other.name in names
    ]


def in_role(state: State, role: int) -> list[Instance]:
    """Return the instances with a role."""
    return [one for one in state.instances if one.role == role]


def spend(state: State, event: str) -> State | None:
    """Take an event from the budget, None if there is none left."""
    remaining = getattr(state.budget, event)
    if not remaining:
        return None
    budget = state.budget._replace(**{event: remaining - 1})
    late = state.late if budget.late else frozenset()
    return state._replace(budget=budget, late=late)


def newer_term(state: State, one: Instance, other: Instance) -> Iterator[Move]:
    """Let an instance hear of the newer term of another one."""
    if other.term > one.term:
        yield Move(
            f'{one.name} hears of term {other.term} from {other.name}',
            put(state, adopted(one, other.term)),
        )


def put(state: State, *changed: Instance) -> State:
    """Replace instances and record what they have led and committed."""
    instances = list(state.instances)
    late = state.late
    for one in changed:
        position = NAMES.index(one.name)
        before = instances[position]
        instances[position] = one
        if state.budget.late and _ends_request(before, one):
            late |= {request_of(before)}
    after = state._replace(instances=tuple(instances), late=late)
    for leader in changed:
        if leader.role == LEADER:
            after = _recorded(state, after, leader)
    return after


def abandoned(state: State, requester: str) -> State:
    """End the barriers of an instance that stops."""
    instances = tuple(
        one._replace(barrier=None)
        if one.barrier and one.barrier.requester == requester
        else one
        for one in state.instances
    )
    return state._replace(instances=instances)


def _recorded(before: State, after: State, leader: Instance) -> State:
    earlier = before.instance(leader.name)
    if earlier.role != LEADER or earlier.term != leader.term:
        after = with_leader(after, leader)
    after = with_acked(with_committed(after, leader), leader)
    return _answered(after, leader)


def _answered(state: State, leader: Instance) -> State:
    """Hand over the answer of a barrier that a quorum has confirmed."""
    barrier = leader.barrier
    if barrier is None or not is_confirmed(leader):
        return state
    instances = list(state.instances)
    instances[NAMES.index(leader.name)] = leader._replace(barrier=None)
    if barrier.requester != leader.name:
        position = NAMES.index(barrier.requester)
        instances[position] = instances[position]._replace(
            answer=(leader.term, barrier.last)
        )
    broken = state.broken
    if barrier.commit < barrier.required:
        broken |= {CURRENT}
    return state._replace(instances=tuple(instances), broken=broken)


def _ends_request(before: Instance, after: Instance) -> bool:
    ended = after.role == FOLLOWER or after.term > before.term
    return before.role != FOLLOWER and ended

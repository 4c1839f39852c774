"""Properties that every state must have."""

from typing import Final

from mustardspur_agreement.checking.model import (
    LEADER,
    Committed,
    Instance,
    State,
)

ONE_LEADER: Final = 'two leaders in one term'
ONE_ENTRY: Final = 'two committed entries at one index'
COMPLETE: Final = 'a leader lacks a committed entry'
CURRENT: Final = 'a read is older than a committed entry'
REACHABLE: Final = 'no leader with every committed entry can be elected'
REMEMBERED: Final = 'an acknowledged entry is gone with one lost disk'
ALL: Final = frozenset(
    (ONE_LEADER, ONE_ENTRY, COMPLETE, CURRENT, REACHABLE, REMEMBERED)
)


def with_committed(state: State, leader: Instance) -> State:
    """Record what a leader has committed."""
    known = len(state.committed)
    if leader.commit <= known:
        return state
    new = tuple(
        Committed(item, leader.term)
        for item in leader.log[known : leader.commit]
    )
    return state._replace(committed=state.committed + new)


def with_leader(state: State, leader: Instance) -> State:
    """Record an elected leader."""
    broken = state.broken
    if any(term == leader.term for term, _ in state.leaders):
        broken |= {ONE_LEADER}
    leaders = tuple(sorted([*state.leaders, (leader.term, leader.name)]))
    return state._replace(leaders=leaders, broken=broken)


def checked(state: State) -> State:
    """Return a state with the properties that it violates."""
    broken = state.broken
    if not _is_consistent(state):
        broken |= {ONE_ENTRY}
    leaders = [one for one in state.instances if one.role == LEADER]
    if not all(is_complete(state, leader) for leader in leaders):
        broken |= {COMPLETE}
    return state._replace(broken=broken) if broken else state


def is_complete(state: State, leader: Instance) -> bool:
    """Whether a leader has what leaders of earlier terms committed."""
    required = [
        entry.item for entry in state.committed if entry.by_term < leader.term
    ]
    return leader.log[: len(required)] == tuple(required)


def _is_consistent(state: State) -> bool:
    committed = tuple(entry.item for entry in state.committed)
    return all(
        one.log[: one.commit] == committed[: one.commit]
        for one in state.instances
    )

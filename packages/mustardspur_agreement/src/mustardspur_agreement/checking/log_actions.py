"""Actions of replication and of changes of voters."""

from collections.abc import Iterator

from mustardspur_agreement import log_rules
from mustardspur_agreement.checking.effects import (
    in_role,
    newer_term,
    others,
    put,
    spend,
)
from mustardspur_agreement.checking.elections import request_of
from mustardspur_agreement.checking.model import (
    LEADER,
    Instance,
    Late,
    Match,
    Setup,
    State,
)
from mustardspur_agreement.checking.moves import Move, action
from mustardspur_agreement.checking.records import entries_of, voters_of
from mustardspur_agreement.checking.replication import (
    acknowledged,
    appended,
    match_of,
    proposed,
)


@action
def append(state: State, setup: Setup) -> Iterator[Move]:
    """A leader replicates to a peer; the answer arrives or is lost."""
    for leader in in_role(state, LEADER):
        for peer in others(state, leader, setup.names):
            yield from _append(state, leader, peer, request_of(leader))


@action
def append_part(state: State, setup: Setup) -> Iterator[Move]:
    """A leader replicates only the entries that it had when elected."""
    spent = spend(state, 'parts')
    if spent is None:
        return
    for leader in in_role(spent, LEADER):
        request = request_of(leader)
        request = request._replace(log=leader.log[: leader.first_index - 1])
        for peer in others(spent, leader, setup.names):
            yield from _append(spent, leader, peer, request)


@action
def propose(state: State, _setup: Setup) -> Iterator[Move]:
    """A leader appends an entry."""
    spent = spend(state, 'proposals')
    if spent is None:
        return
    for leader in in_role(spent, LEADER):
        after = proposed(leader, ())
        text = f'{leader.name} appends entry {len(after.log)}'
        yield Move(text, put(spent, after))


@action
def append_for_refill(state: State, setup: Setup) -> Iterator[Move]:
    """A leader without entries to commit appends one for a refill.

    In a mesh it may record the voters again, from which an instance that knows
    none learns them.
    """
    spent = spend(state, 'refills')
    if spent is None:
        return
    for leader in in_role(spent, LEADER):
        untrusted = [one.peer for one in leader.matches if not one.trusted]
        if untrusted and leader.commit == len(leader.log):
            text = f'{leader.name} appends an entry to refill peers'
            yield Move(text, put(spent, proposed(leader, ())))
            if not setup.lists_voters_again:
                after = proposed(leader, voters_of(leader))
                text = f'{leader.name} records the voters to refill peers'
                yield Move(text, put(spent, after))


@action
def change_voters(state: State, setup: Setup) -> Iterator[Move]:
    """A leader adds a peer that has caught up, or removes a voter."""
    spent = spend(state, 'changes')
    if spent is None:
        return
    for leader in in_role(spent, LEADER):
        for names in _changes(leader, setup):
            new_voters = ''.join(names)
            text = f'{leader.name} changes the voters to {new_voters}'
            yield Move(text, put(spent, proposed(leader, names)))


def _append(
    state: State,
    leader: Instance,
    peer: Instance,
    request: Late,
) -> Iterator[Move]:
    next_index = match_of(leader, peer.name).last + 1
    after = appended(peer, request, next_index)
    if after.last is None:
        yield from newer_term(state, leader, peer)
        if after.peer != peer:
            text = f'{peer.name} refuses entries of {leader.name}'
            yield Move(text, put(state, after.peer))
        return
    text = f'{leader.name} replicates {after.last} to {peer.name}'
    if after.peer != peer:
        yield Move(f'{text}, answer lost', put(state, after.peer))
    answer = Match(peer.name, after.last, after.peer.trusted)
    yield Move(text, put(state, after.peer, acknowledged(leader, answer)))


def _changes(leader: Instance, setup: Setup) -> Iterator[tuple[str, ...]]:
    if not log_rules.may_change_voters(
        entries_of(leader.log), leader.commit, leader.first_index
    ):
        return
    voters = set(voters_of(leader))
    for name in setup.names:
        changed = voters ^ {name}
        match = match_of(leader, name)
        is_caught_up = match.trusted and match.last >= len(leader.log)
        is_allowed = is_caught_up
        if name in voters:
            is_allowed = len(changed) >= setup.min_voters
        if is_allowed:
            yield tuple(sorted(changed))

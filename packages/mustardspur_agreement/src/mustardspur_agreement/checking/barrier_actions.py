"""Actions of reads and refills."""

from collections.abc import Iterator

from mustardspur_agreement.checking.barriers import asked, refilled
from mustardspur_agreement.checking.effects import (
    in_role,
    others,
    put,
    spend,
)
from mustardspur_agreement.checking.model import (
    LEADER,
    Instance,
    Setup,
    State,
)
from mustardspur_agreement.checking.moves import Move, action


@action
def ask(state: State, setup: Setup) -> Iterator[Move]:
    """An instance that is not trusted asks a leader for a barrier."""
    for leader in _confirmable(state):
        for peer in others(state, leader, setup.names):
            if not peer.trusted and peer.answer is None:
                text = f'{peer.name} asks {leader.name} to be refilled'
                yield Move(text, put(state, asked(leader, peer.name, 0)))


@action
def read(state: State, _setup: Setup) -> Iterator[Move]:
    """A leader is asked for a read."""
    spent = spend(state, 'reads')
    if spent is None:
        return
    for leader in _confirmable(spent):
        reading = asked(leader, leader.name, len(state.committed))
        yield Move(f'{leader.name} is read', put(spent, reading))


@action
def refill(state: State, _setup: Setup) -> Iterator[Move]:
    """An instance that holds again what a leader had is trusted."""
    for one in state.instances:
        trusted = refilled(one)
        if trusted:
            yield Move(f'{one.name} is refilled', put(state, trusted))


def _confirmable(state: State) -> list[Instance]:
    return [
        leader
        for leader in in_role(state, LEADER)
        if leader.commit >= leader.first_index
    ]

"""Actions of faults: stops, lost disks and late requests."""

from collections.abc import Iterator

from mustardspur_agreement.checking.effects import abandoned, put, spend
from mustardspur_agreement.checking.elections import voted
from mustardspur_agreement.checking.model import (
    Instance,
    Late,
    Setup,
    State,
)
from mustardspur_agreement.checking.moves import Move, action
from mustardspur_agreement.checking.replication import appended
from mustardspur_agreement.checking.starts import restarted, started


@action
def restart(state: State, _setup: Setup) -> Iterator[Move]:
    """An instance stops and starts with its files."""
    spent = spend(state, 'restarts')
    if spent:
        for one in state.instances:
            after = restarted(one, keeps_mark=True)
            yield from _start_again(spent, after, 'restarts')


@action
def lose_power(state: State, _setup: Setup) -> Iterator[Move]:
    """An instance stops before its commit mark is on disk, and starts."""
    spent = spend(state, 'power_losses')
    if spent:
        for one in state.instances:
            after = restarted(one, keeps_mark=False)
            yield from _start_again(spent, after, 'loses its power')


@action
def lose_disk(state: State, setup: Setup) -> Iterator[Move]:
    """An instance loses its disk and starts without files."""
    spent = spend(state, 'losses')
    if spent:
        for one in state.instances:
            after = started(one.name, setup, first_start=False)
            yield from _start_again(spent, after, 'loses its disk')


@action
def forget_first_start(state: State, setup: Setup) -> Iterator[Move]:
    """An instance that has done nothing yet stops, and starts without files."""
    spent = spend(state, 'forgotten')
    if spent:
        for one in state.instances:
            if one == started(one.name, setup, first_start=True):
                after = started(one.name, setup, first_start=False)
                yield from _start_again(spent, after, 'forgets its first start')


@action
def arrive_late(state: State, _setup: Setup) -> Iterator[Move]:
    """A request arrives whose sender has stopped or stepped down."""
    spent = spend(state, 'late')
    if spent is None:
        return
    for request in sorted(state.late):
        for peer in state.instances:
            after = _arrived(peer, request)
            if after != peer and peer.name != request.sender:
                kind = 'append' if request.is_append else 'vote request'
                text = f'{kind} of {request.sender} arrives at {peer.name}'
                yield Move(text, put(spent, after))


def _arrived(peer: Instance, request: Late) -> Instance:
    if request.is_append:
        return appended(peer, request, 1).peer
    return voted(peer, request) or peer


def _start_again(state: State, after: Instance, event: str) -> Iterator[Move]:
    if after != state.instance(after.name):
        text = f'{after.name} {event}'
        yield Move(text, put(abandoned(state, after.name), after))

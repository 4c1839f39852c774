"""Registry of the actions that lead from a state to the next ones."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from mustardspur_agreement.checking.model import Setup, State
from mustardspur_agreement.checking.properties import checked
from mustardspur_agreement.checking.starts import started


class Move(NamedTuple):
    """An action and the state after it."""

    text: str
    state: State


Action = Callable[[State, Setup], Iterator[Move]]
_actions: list[Action] = []


def action(function: Action) -> Action:
    """Register an action."""
    _actions.append(function)
    return function


def first_state(setup: Setup) -> State:
    """Return the state before anything has happened."""
    return State(
        instances=tuple(
            started(name, setup, first_start=True) for name in setup.names
        ),
        committed=(),
        leaders=(),
        late=frozenset(),
        budget=setup.budget,
        # Voters from the settings are recorded from the first moment.
        has_formed=setup.lists_voters_again,
    )


def moves(state: State, setup: Setup) -> Iterator[Move]:
    """Return every action that is possible in a state."""
    state = state._replace(broken=frozenset())
    for function in _actions:
        for move in function(state, setup):
            yield Move(move.text, checked(move.state))

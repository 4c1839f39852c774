"""Breadth first search over the states of the model."""

from collections.abc import Callable
from typing import NamedTuple

from mustardspur_agreement.checking import (  # noqa: F401
    barrier_actions,
    faults,
    log_actions,
    voting_actions,
)
from mustardspur_agreement.checking.caching import clear_steps
from mustardspur_agreement.checking.model import Setup, State
from mustardspur_agreement.checking.moves import Move, first_state, moves
from mustardspur_agreement.checking.properties import (
    ALL,
    REACHABLE,
    REMEMBERED,
)
from mustardspur_agreement.checking.recovery import can_recover, keeps_acked
from mustardspur_agreement.checking.symmetry import key_of


class Found(NamedTuple):
    """Result of a search.

    Attributes
    ----------
    states : int
        Number of states; states that differ only in names count once.
    depth : int
        Number of actions up to which every state was visited.
    is_complete : bool
        Whether the budget allows no further states.
    broken : str
        The violated property, empty if there is none.
    trace : list of str
        The shortest sequence of actions that violates it.
    """

    states: int
    depth: int
    is_complete: bool
    broken: str = ''
    trace: tuple[str, ...] = ()


class Visited(NamedTuple):
    """A state and its hash."""

    key: int
    state: State


class Search:
    """Visits every state up to a depth.

    Parameters
    ----------
    setup : Setup
        Instances and events.
    properties : frozenset of str
        The properties to check.
    start : State, optional
        The first state; instances that start for the first time without it.
    """

    __slots__ = ('_parents', '_properties', '_setup', '_start')

    def __init__(
        self,
        setup: Setup,
        properties: frozenset[str] = ALL,
        start: State | None = None,
    ) -> None:
        """Initialise without states."""
        self._setup = setup
        self._start = start or first_state(setup)
        self._properties = properties
        # Hash of the state before, by the hash of a state.
        self._parents: dict[int, int] = {}

    def run(
        self,
        depth: int,
        report: Callable[[Found], None] | None = None,
    ) -> Found:
        """Search up to a depth, or until a property is violated.

        Parameters
        ----------
        depth : int
            The largest number of actions.
        report : callable, optional
            Receives the result so far after each action.
        """
        clear_steps()
        root = Visited(key_of(self._start, self._setup), self._start)
        self._parents = {root.key: root.key}
        frontier = [root]
        reached = 0
        broken = self._broken(root.state)
        if broken:
            return self._violation(reached, root.key, broken)
        while frontier and reached < depth:
            frontier, broken = self._expand(frontier)
            if broken:
                return self._violation(reached, frontier[0].key, broken)
            if frontier:
                reached += 1
            if report:
                report(Found(len(self._parents), reached, not frontier))
        return Found(len(self._parents), reached, not frontier)

    def _expand(
        self,
        frontier: list[Visited],
    ) -> tuple[list[Visited], str]:
        """Return the new states, or only the one that is broken and how."""
        following: list[Visited] = []
        for visited in frontier:
            for move in moves(visited.state, self._setup):
                reached = Visited(key_of(move.state, self._setup), move.state)
                if reached.key in self._parents:
                    continue
                self._parents[reached.key] = visited.key
                broken = self._broken(reached.state)
                if broken:
                    return [reached], broken
                following.append(reached)
        return following, ''

    def _broken(self, state: State) -> str:
        broken = sorted(state.broken & self._properties)
        if broken:
            return broken[0]
        if REACHABLE in self._properties:
            if not can_recover(state, self._setup):
                return REACHABLE
        if REMEMBERED in self._properties:
            if not keeps_acked(state, self._setup):
                return REMEMBERED
        return ''

    def _violation(self, depth: int, key: int, broken: str) -> Found:
        trace = self._trace(key)
        return Found(len(self._parents), depth, False, broken, trace)

    def _trace(self, key: int) -> tuple[str, ...]:
        """Repeat the actions that lead to a state, with stable names."""
        path = [key]
        while self._parents[path[-1]] != path[-1]:
            path.append(self._parents[path[-1]])
        path.reverse()
        state = self._start
        trace = []
        for following in path[1:]:
            move = self._move_to(state, following)
            trace.append(move.text)
            state = move.state
        return tuple(trace)

    def _move_to(self, state: State, key: int) -> Move:
        return next(
            move
            for move in moves(state, self._setup)
            if key_of(move.state, self._setup) == key
        )

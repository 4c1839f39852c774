"""Kinds of moves: which faults occur, when and for which calls."""

from collections.abc import Callable
from typing import Any, Final

import numpy as np
from mustardspur_core.record import Record
from numpy import typing as npt

Cells = npt.NDArray[Any]
# Fraction of the length of the move after which a late fault begins.
LATE_FRACTION: Final = 0.4


class TrafficState(Record):
    """Time and properties of calls, with one array entry per traffic cell.

    Parameters
    ----------
    time_s, length_s : float
        Seconds since the move began, and its length.
    is_new : array of bool
        Whether the cell belongs to the new version.
    target, data_centre, route, caller : array of int
        Index in the lists of the user's load.
    load : array of float
        Call rate of the target relative to its usual rate.
    """

    __slots__ = (
        'time_s',
        'length_s',
        'is_new',
        'target',
        'data_centre',
        'route',
        'caller',
        'load',
    )
    time_s: float
    length_s: float
    is_new: Cells
    target: Cells
    data_centre: Cells
    route: Cells
    caller: Cells
    load: Cells

    @property
    def is_late(self) -> bool:
        """Whether late faults have begun."""
        return self.time_s > LATE_FRACTION * self.length_s


class Effect(Record):
    """Faults of the calls in each traffic cell, on top of the conditions.

    Parameters
    ----------
    failures, refusals : array of float
        Additional shares of failed and refused calls.
    slowdown : array of float
        Factor on the latency.
    """

    __slots__ = ('failures', 'refusals', 'slowdown')
    failures: Cells
    refusals: Cells
    slowdown: Cells


Behaviour = Callable[[TrafficState], Effect]


class MoveKind(Record):
    """A kind of move: the behaviour of the versions and an event.

    Parameters
    ----------
    name : str
        Name in the table.
    bad : bool
        Whether the new version is bad.
    behaviour : callable
        Returns the effect on the traffic cells.
    event : str
        Event in the mesh during the move, empty for none.
    """

    __slots__ = ('name', 'bad', 'behaviour', 'event')
    name: str
    bad: bool
    behaviour: Behaviour
    event: str


_kinds: list[MoveKind] = []


def kind(
    name: str,
    *events: str,
    bad: bool,
) -> Callable[[Behaviour], Behaviour]:
    """Register a behaviour without an event and with each of the events."""

    def decorator(behaviour: Behaviour) -> Behaviour:
        for event in ('', *events):
            full_name = f'{name}, {event}' if event else name
            _kinds.append(
                MoveKind(
                    name=full_name, bad=bad, behaviour=behaviour, event=event
                )
            )
        return behaviour

    return decorator


def all_kinds() -> list[MoveKind]:
    """Return the registered kinds."""
    return list(_kinds)


def effect(
    state: TrafficState,
    failures: Any = 0,
    refusals: Any = 0,
    slowdown: Any = 1,
) -> Effect:
    """Return an effect from arrays or from single numbers for all cells."""
    ones = np.ones(state.is_new.shape)
    return Effect(
        failures=ones * failures,
        refusals=ones * refusals,
        slowdown=ones * slowdown,
    )


def slowed_down(state: TrafficState, factor: float) -> Effect:
    """Return the effect of a new version that is slower by a factor."""
    return effect(state, slowdown=np.where(state.is_new, factor, 1))

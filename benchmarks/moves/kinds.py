"""Kinds of moves: what goes wrong, when and for whom."""

from collections.abc import Callable
from typing import Any, Final

import numpy as np
from mustardspur_core.record import Record
from numpy import typing as npt

Cells = npt.NDArray[Any]
# Part of the move's time after which a late fault begins.
LATE: Final = 0.4


class Place(Record):
    """Where and when calls are made, one array entry per cell of traffic.

    Parameters
    ----------
    time_s, length_s : float
        Seconds since the move began, and its length.
    is_new : array of bool
        Whether the cell belongs to the new version.
    target, data_centre, route, caller : array of int
        Place in the lists of the user's load.
    load : array of float
        Calls of the target, 1 for a target's share of the usual calls.
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
        """Whether a late fault has begun."""
        return self.time_s > LATE * self.length_s


class Effect(Record):
    """What the calls of a place meet beside the usual.

    Parameters
    ----------
    failures, refusals : array of float
        Additional shares of calls.
    slowdown : array of float
        Factor on the latency.
    """

    __slots__ = ('failures', 'refusals', 'slowdown')
    failures: Cells
    refusals: Cells
    slowdown: Cells


Behaviour = Callable[[Place], Effect]


class Kind(Record):
    """A kind of move.

    Parameters
    ----------
    name : str
        Name in the table.
    bad : bool
        Whether the new version is bad.
    behaviour : callable
        Effect at a place.
    event : str
        What happens to the mesh during the move, empty for nothing.
    """

    __slots__ = ('name', 'bad', 'behaviour', 'event')
    name: str
    bad: bool
    behaviour: Behaviour
    event: str


_kinds: list[Kind] = []


def kind(
    name: str,
    *events: str,
    bad: bool,
) -> Callable[[Behaviour], Behaviour]:
    """Register a behaviour, alone and combined with each of some events."""

    def decorator(behaviour: Behaviour) -> Behaviour:
        for event in ('', *events):
            full_name = f'{name}, {event}' if event else name
            _kinds.append(
                Kind(name=full_name, bad=bad, behaviour=behaviour, event=event)
            )
        return behaviour

    return decorator


def all_kinds() -> list[Kind]:
    """Return the registered kinds."""
    return list(_kinds)


def effect(
    place: Place,
    failures: Any = 0,
    refusals: Any = 0,
    slowdown: Any = 1,
) -> Effect:
    """Return an effect from arrays or single numbers."""
    ones = np.ones(place.is_new.shape)
    return Effect(
        failures=ones * failures,
        refusals=ones * refusals,
        slowdown=ones * slowdown,
    )


def slowed(place: Place, factor: float) -> Effect:
    """Return the effect of a slower new version."""
    return effect(place, slowdown=np.where(place.is_new, factor, 1))

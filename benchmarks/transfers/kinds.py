"""Kinds of faults that a new version has, and good versions."""

import random
from collections.abc import Callable
from functools import partial

from mustardspur_core.record import Record

from benchmarks.transfers.faults import Fault

# Creates the fault of a play from a generator of its draws and a size.
_Creator = Callable[[random.Random, float], Fault]


class FaultKind(Record):
    """A kind of fault.

    Parameters
    ----------
    name : str
        Name in the table.
    is_bad : bool
        Whether a version with the fault has to be rolled back.
    is_under_load : bool
        Whether the fault appears only at a rate of `FAULTY_RATE`.
    create : callable
        Returns the fault of a play, from a generator of its draws.
    """

    __slots__ = ('name', 'is_bad', 'is_under_load', 'create')
    name: str
    is_bad: bool
    is_under_load: bool
    create: Callable[[random.Random], Fault]


_kinds: list[FaultKind] = []


def fault_kind(
    name: str,
    *sizes: float,
    is_bad: bool = True,
    is_under_load: bool = False,
) -> Callable[[_Creator], _Creator]:
    """Register a kind for each size, which the name is formatted with."""

    def decorator(creator: _Creator) -> _Creator:
        for size in sizes:
            _kinds.append(
                FaultKind(
                    name=name.format(size),
                    is_bad=is_bad,
                    is_under_load=is_under_load,
                    create=partial(_create, creator, size),
                ),
            )
        return creator

    return decorator


def all_kinds() -> list[FaultKind]:
    """Return the registered kinds."""
    return list(_kinds)


def _create(creator: _Creator, size: float, draws: random.Random) -> Fault:
    return creator(draws, size)

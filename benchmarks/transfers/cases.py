"""Plays of a kind of fault under a load, and their figures."""

import random
from collections.abc import Iterator
from itertools import product
from typing import Final, NamedTuple

from mustardspur_core.record import Record

from benchmarks.transfers import bad_kinds, good_kinds
from benchmarks.transfers.judges import JUDGES
from benchmarks.transfers.kinds import FaultKind, all_kinds
from benchmarks.transfers.loads import FAULTY_RATE, LOADS
from benchmarks.transfers.play import TransferPlay
from benchmarks.transfers.service import Service
from tests.support.virtual_time import in_virtual_time

# Modules that register kinds.
KIND_MODULES: Final = (good_kinds, bad_kinds)
_UPPER_QUANTILE: Final = 0.99


class Case(NamedTuple):
    """A row of the table, by the names of kind and load."""

    kind: str
    load: str


class PlayFigures(NamedTuple):
    """Result of a play.

    Attributes
    ----------
    is_right : bool
        Whether a bad version was rolled back, or a good one completed in time
        without a call left at the version before it.
    used : float
        Calls of the new version as a part of those that a bad one may get.
    """

    is_right: bool
    used: float


class CaseFigures(Record):
    """Figures of a row of the table.

    Parameters
    ----------
    case : Case
        Kind and load.
    is_bad : bool
        Whether the version had to be rolled back.
    right : float
        Part of the plays that ended as they had to.
    over : float
        Part of the plays in which the version got more calls than a bad one
        may get.
    median_used, upper_used, max_used : float
        Calls of the version as a part of those that a bad one may get: the
        quantiles 0.5 and 0.99, and the maximum.
    """

    __slots__ = (
        'case',
        'is_bad',
        'right',
        'over',
        'median_used',
        'upper_used',
        'max_used',
    )
    case: Case
    is_bad: bool
    right: float
    over: float
    median_used: float
    upper_used: float
    max_used: float


def all_cases() -> Iterator[Case]:
    """Return the cases whose fault can appear under their load."""
    for kind, (name, load) in product(all_kinds(), LOADS.items()):
        if not kind.is_under_load or load.loaded >= FAULTY_RATE:
            yield Case(kind.name, name)


def kind_of(case: Case) -> FaultKind:
    """Return the kind of fault of a case."""
    return next(kind for kind in all_kinds() if kind.name == case.kind)


def run_play(case: Case, seed: int, judge: str = 'sums') -> PlayFigures:
    """Play a transfer in virtual time, with a judge by its name."""
    kind = kind_of(case)
    fault = kind.create(random.Random(f'fault {seed}'))
    service = Service(seed, fault, LOADS[case.load])
    play = TransferPlay(service, JUDGES[judge])
    in_virtual_time(play.run)()
    is_rolled_back = play.state == 'rolled_back'
    return PlayFigures(
        is_right=is_rolled_back if kind.is_bad else play.is_completed,
        used=play.service.new_calls / play.max_new_calls,
    )


def case_figures(case: Case, plays: list[PlayFigures]) -> CaseFigures:
    """Return the figures of a case from those of its plays."""
    used = sorted(play.used for play in plays)
    return CaseFigures(
        case=case,
        is_bad=kind_of(case).is_bad,
        right=_mean(play.is_right for play in plays),
        over=_mean(each > 1 for each in used),
        median_used=_quantile(used, 0.5),
        upper_used=_quantile(used, _UPPER_QUANTILE),
        max_used=used[-1],
    )


def _mean(flags: Iterator[bool]) -> float:
    values = list(flags)
    return sum(values) / len(values)


def _quantile(values: list[float], quantile: float) -> float:
    return values[min(int(quantile * len(values)), len(values) - 1)]

"""Kinds of bad versions."""

import random

from mustardspur_control.mesh.schedule import COMPLETION_PROGRESS

from benchmarks.transfers.faults import (
    FailingPart,
    Fault,
    PartialFault,
    Run,
    SlowPart,
)
from benchmarks.transfers.kinds import fault_kind
from benchmarks.transfers.loads import DURATION_S, FAULTY_RATE
from benchmarks.transfers.service import ROUTES


@fault_kind('errors {}', 0.03, 0.1, 0.3)
def _failing(draws: random.Random, size: float) -> Fault:
    return FailingPart(size)


@fault_kind('slow x{}', 1.5, 2, 3, 5, 8)
def _slow(draws: random.Random, size: float) -> Fault:
    return SlowPart(1, size)


@fault_kind('errors {} in one class', 0.3)
def _failing_class(draws: random.Random, size: float) -> Fault:
    return PartialFault(FailingPart(size), _is_small_class)


@fault_kind('slow x{} in one class', 3)
def _slow_class(draws: random.Random, size: float) -> Fault:
    return PartialFault(SlowPart(1, size), _is_small_class)


@fault_kind('errors {} on one route', 0.3)
def _failing_route(draws: random.Random, size: float) -> Fault:
    return PartialFault(FailingPart(size), _is_small_route)


@fault_kind('slow x{} on one route', 3)
def _slow_route(draws: random.Random, size: float) -> Fault:
    return PartialFault(SlowPart(1, size), _is_small_route)


@fault_kind('errors {} late', 0.1, 0.3)
def _failing_late(draws: random.Random, size: float) -> Fault:
    return FailingPart(size, from_s=_late_s(draws))


@fault_kind('slow x{} late', 3)
def _slow_late(draws: random.Random, size: float) -> Fault:
    from_s = _late_s(draws)
    return PartialFault(SlowPart(1, size), lambda run: run.at_s >= from_s)


@fault_kind('errors {} under load', 0.3, is_under_load=True)
def _failing_under_load(draws: random.Random, size: float) -> Fault:
    return PartialFault(FailingPart(size), _is_loaded)


@fault_kind('slow x{} under load', 3, is_under_load=True)
def _slow_under_load(draws: random.Random, size: float) -> Fault:
    return PartialFault(SlowPart(1, size), _is_loaded)


def _late_s(draws: random.Random) -> float:
    """Return a time before the completion of a transfer at the latest."""
    return draws.uniform(0, COMPLETION_PROGRESS * DURATION_S)


def _is_small_class(run: Run) -> bool:
    return run.is_small_class


def _is_small_route(run: Run) -> bool:
    return run.route == ROUTES[-1]


def _is_loaded(run: Run) -> bool:
    return run.new_rate >= FAULTY_RATE

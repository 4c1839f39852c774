"""Kinds of moves to a bad version."""

from typing import Final

from benchmarks.moves.kinds import (
    Effect,
    TrafficState,
    effect,
    kind,
    slowed_down,
)

# Load of a target, relative to the usual load, above which the fault appears.
MIN_FAULTY_LOAD: Final = 0.4


@kind('20% errors', 'lagging reports', bad=True)
def _errors(state: TrafficState) -> Effect:
    return effect(state, failures=0.2 * state.is_new)


@kind('3% errors', 'noise', bad=True)
def _few_errors(state: TrafficState) -> Effect:
    return effect(state, failures=0.03 * state.is_new)


@kind('30% errors, old version 10%', bad=True)
def _worse_than_failing_old_version(state: TrafficState) -> Effect:
    return effect(state, failures=0.1 + 0.2 * state.is_new)


@kind(
    '20% errors late',
    'load surge',
    'data centre isolated',
    'leader lost',
    bad=True,
)
def _late_errors(state: TrafficState) -> Effect:
    return effect(state, failures=0.2 * state.is_new * state.is_late)


@kind('20% errors under load', bad=True)
def _errors_under_load(state: TrafficState) -> Effect:
    is_affected = state.is_new & (state.load > MIN_FAULTY_LOAD)
    return effect(state, failures=0.2 * is_affected)


@kind('30% errors on one route', bad=True)
def _errors_on_one_route(state: TrafficState) -> Effect:
    is_affected = state.is_new & (state.route == 1)
    return effect(state, failures=0.3 * is_affected)


@kind('30% errors for one caller', bad=True)
def _errors_for_one_caller(state: TrafficState) -> Effect:
    is_affected = state.is_new & (state.caller == 1)
    return effect(state, failures=0.3 * is_affected)


@kind('30% errors in one data centre', bad=True)
def _errors_in_one_data_centre(state: TrafficState) -> Effect:
    is_affected = state.is_new & (state.data_centre == 0)
    return effect(state, failures=0.3 * is_affected)


@kind('3 times slower', bad=True)
def _slow(state: TrafficState) -> Effect:
    return slowed_down(state, 3)


@kind('3 times slower late', bad=True)
def _slow_late(state: TrafficState) -> Effect:
    return slowed_down(state, 3 if state.is_late else 1)


@kind('2 times slower', bad=True)
def _twice_slower(state: TrafficState) -> Effect:
    return slowed_down(state, 2)


@kind('ready by its health answers, refuses 30%', bad=True)
def _refuses(state: TrafficState) -> Effect:
    return effect(state, refusals=0.3 * state.is_new)

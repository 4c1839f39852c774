"""Kinds of moves to a good version, under various conditions."""

import math
from typing import Final

from benchmarks.moves.kinds import (
    Effect,
    TrafficState,
    effect,
    kind,
    slowed_down,
)

COLD_S: Final = 6.0
FAILING_FROM_S: Final = 20


@kind(
    'good',
    'load surge',
    'noise',
    'lagging reports',
    'data centre isolated',
    'leader lost',
    bad=False,
)
def _good(state: TrafficState) -> Effect:
    return effect(state)


@kind('good, cold start', bad=False)
def _cold_start(state: TrafficState) -> Effect:
    cold_effect = state.is_new * math.exp(-state.time_s / COLD_S)
    return effect(
        state, refusals=0.1 * cold_effect, slowdown=1 + 3 * cold_effect
    )


@kind('good, one sick new target', bad=False)
def _failing_new_target(state: TrafficState) -> Effect:
    is_failing = state.is_new & (state.target == 0)
    return effect(
        state, failures=0.5 * is_failing * (state.time_s > FAILING_FROM_S)
    )


@kind('good, one sick old target', bad=False)
def _failing_old_target(state: TrafficState) -> Effect:
    is_failing = ~state.is_new & (state.target == 0)
    return effect(state, failures=0.5 * is_failing)


@kind('good, old version 10% errors', bad=False)
def _failing_old_version(state: TrafficState) -> Effect:
    return effect(state, failures=0.1 * ~state.is_new)


@kind('good, a tenth slower', bad=False)
def _tenth_slower(state: TrafficState) -> Effect:
    return slowed_down(state, 1.1)

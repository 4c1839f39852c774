"""Moves to a good version, under various conditions."""

import math
from typing import Final

from benchmarks.moves.kinds import Effect, Place, effect, kind, slowed

COLD_S: Final = 6.0
SICK_FROM_S: Final = 20


@kind(
    'good',
    'load surge',
    'noise',
    'lagging reports',
    'data centre isolated',
    'leader lost',
    bad=False,
)
def _good(place: Place) -> Effect:
    return effect(place)


@kind('good, cold start', bad=False)
def _cold(place: Place) -> Effect:
    fading = place.is_new * math.exp(-place.time_s / COLD_S)
    return effect(place, refusals=0.1 * fading, slowdown=1 + 3 * fading)


@kind('good, one sick new target', bad=False)
def _sick_new(place: Place) -> Effect:
    is_sick = place.is_new & (place.target == 0)
    return effect(place, failures=0.5 * is_sick * (place.time_s > SICK_FROM_S))


@kind('good, one sick old target', bad=False)
def _sick_old(place: Place) -> Effect:
    is_sick = ~place.is_new & (place.target == 0)
    return effect(place, failures=0.5 * is_sick)


@kind('good, old version 10% errors', bad=False)
def _bad_old(place: Place) -> Effect:
    return effect(place, failures=0.1 * ~place.is_new)


@kind('good, a tenth slower', bad=False)
def _tenth_slower(place: Place) -> Effect:
    return slowed(place, 1.1)

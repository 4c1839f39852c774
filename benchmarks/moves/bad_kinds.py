"""Moves to a bad version."""

from typing import Final

from benchmarks.moves.kinds import Effect, Place, effect, kind, slowed

# Load of a target, as part of the usual one, from which a fault shows.
FAULTY_LOAD: Final = 0.4


@kind('20% errors', 'lagging reports', bad=True)
def _errors(place: Place) -> Effect:
    return effect(place, failures=0.2 * place.is_new)


@kind('3% errors', 'noise', bad=True)
def _few_errors(place: Place) -> Effect:
    return effect(place, failures=0.03 * place.is_new)


@kind('30% errors, old version 10%', bad=True)
def _worse_than_bad(place: Place) -> Effect:
    return effect(place, failures=0.1 + 0.2 * place.is_new)


@kind(
    '20% errors late',
    'load surge',
    'data centre isolated',
    'leader lost',
    bad=True,
)
def _late(place: Place) -> Effect:
    return effect(place, failures=0.2 * place.is_new * place.is_late)


@kind('20% errors under load', bad=True)
def _under_load(place: Place) -> Effect:
    loaded = place.is_new & (place.load > FAULTY_LOAD)
    return effect(place, failures=0.2 * loaded)


@kind('30% errors on one route', bad=True)
def _one_route(place: Place) -> Effect:
    hit = place.is_new & (place.route == 1)
    return effect(place, failures=0.3 * hit)


@kind('30% errors for one caller', bad=True)
def _one_caller(place: Place) -> Effect:
    hit = place.is_new & (place.caller == 1)
    return effect(place, failures=0.3 * hit)


@kind('30% errors in one data centre', bad=True)
def _one_data_centre(place: Place) -> Effect:
    hit = place.is_new & (place.data_centre == 0)
    return effect(place, failures=0.3 * hit)


@kind('3 times slower', bad=True)
def _slow(place: Place) -> Effect:
    return slowed(place, 3)


@kind('3 times slower late', bad=True)
def _slow_late(place: Place) -> Effect:
    return slowed(place, 3 if place.is_late else 1)


@kind('2 times slower', bad=True)
def _slower(place: Place) -> Effect:
    return slowed(place, 2)


@kind('ready by its health answers, refuses 30%', bad=True)
def _refuses(place: Place) -> Effect:
    return effect(place, refusals=0.3 * place.is_new)

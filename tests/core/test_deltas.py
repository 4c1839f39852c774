"""Tests of deltas between configurations."""

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from mustardspur_core.deltas import BadDelta, apply_delta, make_delta
from mustardspur_core.record import replaced
from mustardspur_core.state import ServiceConfig

from tests.support.samples import config, move


@st.composite
def configs(draw: st.DrawFn) -> ServiceConfig:
    """Generate a configuration with various routes, versions and moves."""
    names = draw(st.permutations(['a', 'b', 'c']))
    sample = config(
        draw(st.integers(1, 9)),
        version=draw(st.sampled_from(['1', '2'])),
        weights={'stable': draw(st.integers(1, 3))},
        moves=[move(0.5)] if draw(st.booleans()) else [],
    )
    route = sample.profile.routes[0]
    count = draw(st.integers(1, 3))
    sample.profile.routes = [
        replaced(route, name=name) for name in names[:count]
    ]
    return sample


@given(configs(), configs())
def test_delta_leads_to_the_newest(
    base: ServiceConfig,
    newest: ServiceConfig,
) -> None:
    """Guards against values lost, reordered or left over by a delta."""
    assert apply_delta(base, make_delta(base, newest)) == newest


def test_delta_of_one_value_is_small() -> None:
    """Guards against a change of one route repeating the whole profile."""
    delta = make_delta(config(1), config(2))
    assert len(delta['set']) == 3  # type: ignore[arg-type]


@pytest.mark.parametrize(
    'delta',
    [
        {},
        {'set': [], 'removed': [['profile', 'routes', 'none']]},
        {'set': [[[], 1]], 'removed': []},
        {'set': [[['none', 'deep'], 1]], 'removed': []},
        {'set': [[['profile', 'name'], 7]], 'removed': []},
        {'set': [[['profile', 'route_order'], ['x']]], 'removed': []},
        {'set': [[['number', 'x'], 1]], 'removed': []},
        {'set': 7, 'removed': []},
        {'set': [], 'removed': [[['x']]]},
    ],
)
def test_bad_delta_is_refused(delta: dict[str, Any]) -> None:
    """Guards against an invalid delta being applied in part."""
    base = config(1)
    with pytest.raises(BadDelta):
        apply_delta(base, delta)
    assert base == config(1)

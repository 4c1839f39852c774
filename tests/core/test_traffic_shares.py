"""Tests of the shares of traffic by version."""

import pytest
from mustardspur_core.state import Move
from mustardspur_core.traffic_shares import reachable_versions, version_shares

from tests.support.samples import config, move


@pytest.mark.parametrize(
    ('version', 'moves', 'cut_offs', 'expected'),
    [
        ('1', [], [], {'1': 1}),
        ('2', [move(0.25)], [], {'1': 0.75, '2': 0.25}),
        ('2', [move(0.25, 'paused')], [], {'1': 0.75, '2': 0.25}),
        ('2', [move(0)], [], {'1': 1}),
        ('2', [move(0.25)], ['forms:stable:2'], {'1': 1}),
        ('2', [move(1, 'done')], [], {'2': 1}),
        ('2', [move(0.5, 'taken_back')], [], {'1': 1}),
        ('1', [move(0.5, 'taken_back')], [], {'1': 1}),
        ('3', [move(1, 'done')], [], {'3': 1}),
    ],
)
def test_shares_follow_the_newest_move(
    version: str,
    moves: list[Move],
    cut_offs: list[str],
    expected: dict[str, float],
) -> None:
    """Guards against traffic to a version that the move does not allow."""
    sample = config(3, version, moves=moves)
    assert version_shares(sample, 'stable', cut_offs) == expected


def test_set_without_weight_is_not_reached() -> None:
    """Guards against waiting for targets to which no route sends calls."""
    sample = config(1, weights={'stable': 0, 'other': 0})
    assert reachable_versions(sample, []) == set()

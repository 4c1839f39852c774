"""Guards against calls to a version beyond the share of its move."""

import random

import pytest
from mustardspur_core.state import Move
from mustardspur_node.calls.balancing import Balancer
from mustardspur_node.calls.routing import VersionPool, compile_splits

from tests.node.stand_ins.endpoints import make_endpoint
from tests.node.stand_ins.views import make_target, make_view

MOVE = 'lens-bench:stable:7'
CALLS = 4000


def _move(state: str, share: float) -> Move:
    return Move(
        id=MOVE,
        service='lens-bench',
        target_set='stable',
        from_version='0',
        to_version='1',
        started_s=0,
        by_s=600,
        state=state,
        share=share,
        step=1,
        reason='',
    )


@pytest.mark.parametrize(
    ('state', 'share', 'cut_off', 'expected'),
    [
        ('running', 0.02, [], 0.02),
        ('paused', 0.3, [], 0.3),
        ('running', 0.02, [MOVE], 0),
        ('running', 1, [MOVE], 0),
        ('taken_back', 0.5, [], 0),
        ('done', 0.5, [], 1),
        ('done', 1, [MOVE], 0),
    ],
)
async def test_share_of_new_version(
    state: str,
    share: float,
    cut_off: list[str],
    expected: float,
) -> None:
    """Guards against calls to a version that is cut off."""
    targets = [make_target('a', version='0'), make_target('b', version='1')]
    view = make_view(targets, [_move(state, share)], cut_off)
    pools_by_version = {
        version: VersionPool(
            Balancer(version, [[make_endpoint(version)]], random.random),
        )
        for version in ('0', '1')
    }
    splits_by_set = compile_splits(view, pools_by_version.__getitem__)
    uniform = random.Random(7).random
    chosen = [
        splits_by_set['stable'].choose_pool(uniform) for _ in range(CALLS)
    ]
    new_share = chosen.count(pools_by_version['1']) / CALLS
    # Four standard deviations of 4,000 draws at a share of 0.3.
    assert new_share == pytest.approx(expected, abs=0.03)
    assert (new_share > 0) == (expected > 0)
    assert (new_share < 1) == (expected < 1)

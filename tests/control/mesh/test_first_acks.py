"""Guards against orders that are acknowledged while a first voter of the mesh
remembers nothing yet, so that one lost disk leaves no quorum for good.
"""

from contextlib import closing

import pytest

from tests.control.mesh.forming_play import ACK_LIMIT_S, FormingPlay

SEEDS = range(6)
# When a first voter is started, after the others.
STARTS_S = (0.5, 1.0, 2.0, 30.0)


@pytest.mark.parametrize('start_s', STARTS_S)
@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('forgets', [True, False])
def test_first_ack_outlives_a_lost_disk(
    seed: int, start_s: float, *, forgets: bool
) -> None:
    """Guards against a first voter that is killed before it has written its
    first voters, or starts late, beside the lost disk of another one.
    """
    with closing(FormingPlay(seed)) as play:
        if forgets:
            play.forget_first_start()
        starting = play.loop.call_later(start_s, play.start_absent)
        play.until_acked()
        starting.cancel()
        play.lose_a_disk()
        play.check()
        assert play.acked_s - play.ordered_s < ACK_LIMIT_S


@pytest.mark.parametrize('seed', SEEDS)
def test_order_is_acked_without_a_first_voter(seed: int) -> None:
    """Guards against three instances that accept no order at all while one of
    them has not started.
    """
    with closing(FormingPlay(seed, has_fourth=False)) as play:
        play.until_acked()
        assert play.acked_s - play.ordered_s < ACK_LIMIT_S

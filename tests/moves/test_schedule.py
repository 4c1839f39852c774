"""Guards against a schedule that misses the deadline."""

import pytest
from mustardspur_moves import Schedule

from tests.moves.builders import START_S, a_policy


@pytest.mark.parametrize('length_s', [30, 200, 86_400])
@pytest.mark.parametrize('first_share', [0.001, 0.02, 0.5, 0.95, 1])
def test_schedule_reserves_time_for_a_pause(
    length_s: float,
    first_share: float,
) -> None:
    """Guards against a move that is late after a pause of a third of it."""
    policy = a_policy(first_share=first_share)
    schedule = Schedule(policy, START_S, START_S + length_s)
    due = [stage.due_s for stage in schedule.stages]
    assert due == sorted(due)
    assert due[0] == START_S
    assert schedule.last.share == 1
    assert schedule.last.due_s <= START_S + length_s * 2 / 3
    assert schedule.last.due_s < schedule.last_raise_s < START_S + length_s


def test_most_time_is_spent_below_half() -> None:
    """Guards against a bad version that gets a large share early."""
    schedule = Schedule(a_policy(), START_S, START_S + 100)
    early = [
        stage.share for stage in schedule.stages if stage.due_s < START_S + 35
    ]
    assert max(early) < 1 / 2


def test_every_stage_needs_more_calls() -> None:
    """Guards against a raise without new evidence."""
    schedule = Schedule(a_policy(), START_S, START_S + 100)
    needed = [stage.needed_calls for stage in schedule.stages]
    assert needed[0] == 0
    assert all(one < two for one, two in zip(needed, needed[1:], strict=False))


def test_deadline_before_the_start() -> None:
    """Guards against a division by zero after a clock step."""
    schedule = Schedule(a_policy(), START_S, START_S - 5)
    assert schedule.last.due_s == START_S


@pytest.mark.parametrize('length_s', [12, 20, 60])
def test_last_raise_leaves_time_to_be_confirmed(length_s: float) -> None:
    """Guards against a last raise that is confirmed after the deadline.

    Under other load, a raise without this margin was confirmed 0.2 s late.
    """
    schedule = Schedule(a_policy(), START_S, START_S + length_s)
    left_s = START_S + length_s - schedule.last_raise_s
    assert left_s >= min(3, length_s / 5)
    assert schedule.last.due_s < schedule.last_raise_s

"""Tests of the limit on the bytes of answers."""

import pytest
from mustardspur_core.units import BYTES_PER_MIB
from mustardspur_node.mesh.answer_budget import AnswerBudget, AnswerTooLong
from mustardspur_node.mesh.node_bodies import NodeBodies

from tests.node.stand_ins.memory import uncollected_memory


def test_answer_without_end_leaves_room_for_others() -> None:
    """Guards against one target that fails the answers of all others."""
    budget = AnswerBudget(100)
    with budget.receiving() as endless, budget.receiving() as other:
        endless.add(bytes(50))
        with pytest.raises(AnswerTooLong):
            endless.add(bytes(1))
        other.add(bytes(40))
        assert other.take() == bytes(40)


def test_answers_together_are_bounded() -> None:
    """Guards against many long answers that fill the memory together."""
    budget = AnswerBudget(100)
    with budget.receiving() as first, budget.receiving() as second:
        first.add(bytes(50))
        second.add(bytes(50))
        with pytest.raises(AnswerTooLong), budget.receiving() as third:
            third.add(bytes(50))
        with budget.receiving() as short:
            short.add(bytes(1))
            assert budget.held_bytes == 51
            short.add(bytes(49))
            with pytest.raises(AnswerTooLong):
                first.add(bytes(1))
                second.add(bytes(1))
            assert budget.held_bytes <= budget.limit_bytes


def test_longest_answer_gives_way() -> None:
    """Guards against answers without end that fail shorter ones, and against
    a truncated answer that looks complete.
    """
    budget = AnswerBudget(100)
    with budget.receiving() as endless, budget.receiving() as other:
        with budget.receiving() as short:
            endless.add(bytes(50))
            other.add(bytes(45))
            short.add(bytes(20))
            assert budget.held_bytes == 65
            assert short.take() == bytes(20)
        with pytest.raises(AnswerTooLong):
            endless.add(bytes(1))
        with pytest.raises(AnswerTooLong):
            endless.take()
        assert other.take() == bytes(45)
    assert budget.held_bytes == 0


def test_bytes_are_released_at_the_end() -> None:
    """Guards against a budget that shrinks with each answer."""
    budget = AnswerBudget(100)
    for _ in range(3):
        with budget.receiving() as held:
            held.add(bytes(50))
    assert budget.held_bytes == 0


def test_failed_answer_holds_no_bytes() -> None:
    """Guards against failures that hold what was received until a garbage
    collection, and end the process for its memory.
    """
    budget = AnswerBudget(2_000_000)
    with uncollected_memory() as allocated:
        failures = [_fail_at_the_limit(budget) for _ in range(5)]
        assert len(failures) == 5
        assert allocated() < budget.answer_bytes


def _fail_at_the_limit(budget: AnswerBudget) -> AnswerTooLong:
    with pytest.raises(AnswerTooLong) as caught, budget.receiving() as held:
        held.add(bytes(budget.answer_bytes))
        held.add(bytes(1))
    failure: AnswerTooLong = caught.value  # noqa: WPS441
    return failure


@pytest.mark.parametrize('memory_mb', [64, 128, 300])
def test_answers_take_a_part_of_the_memory(memory_mb: float) -> None:
    """Guards against answers that exceed the memory of a small process."""
    bodies = NodeBodies()
    bodies.resize(memory_mb)
    limit_bytes = bodies.answers.limit_bytes
    assert memory_mb / 10 < limit_bytes / BYTES_PER_MIB < memory_mb / 9
    with bodies.answers.receiving() as held:
        held.add(bytes(limit_bytes // 2))
        with pytest.raises(AnswerTooLong):
            held.add(bytes(1))


def test_answer_without_room_asks_for_it() -> None:
    """Guards against answers that callers do not read and that keep out all
    others, while no caller is closed.
    """
    budget = AnswerBudget(100)
    refusals: list[int] = []
    budget.on_full = lambda: refusals.append(budget.held_bytes)
    budget.hold(100)
    with pytest.raises(AnswerTooLong), budget.receiving() as held:
        held.add(bytes(1))
    assert refusals == [100]

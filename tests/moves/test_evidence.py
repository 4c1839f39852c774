"""Guards against evidence that depends on the path of its reports."""

from hypothesis import given
from hypothesis import strategies as st
from mustardspur_core.messages import Outcomes
from mustardspur_core.wire import decode_frame, encode_frame
from mustardspur_moves import Evidence, OutcomeCollector, Slot, judge, merge
from mustardspur_moves.evidence import row_of, tally_of

from tests.moves.builders import (
    NEW,
    OLD,
    a_key,
    a_move,
    a_policy,
    a_row,
    a_tally,
    add_good_second,
    window_at,
)

_reports = st.lists(
    st.tuples(
        st.builds(Slot, step=st.integers(0, 2), window=st.integers(0, 4)),
        st.sampled_from([a_key(OLD), a_key(NEW), a_key(NEW, target='t1')]),
        st.builds(a_tally, st.integers(5, 9), st.integers(0, 5)),
    ),
    max_size=8,
)


def _evidence(reports: list[tuple[Slot, object, object]]) -> Evidence:
    evidence = Evidence()
    for slot, key, tally in reports:
        evidence.add(slot, key, tally)  # type: ignore[arg-type]
    return evidence


@given(_reports, _reports, _reports)
def test_merge_is_associative_and_commutative(
    one: list[tuple[Slot, object, object]],
    two: list[tuple[Slot, object, object]],
    three: list[tuple[Slot, object, object]],
) -> None:
    """Guards against a sum that depends on which instance merges first."""
    first, second, third = _evidence(one), _evidence(two), _evidence(three)
    left = merge(merge(first, second), third)
    assert left == merge(first, merge(third, second))
    assert left == _evidence(three + two + one)


def test_late_report_is_judged_like_a_prompt_one() -> None:
    """Guards against kept scores that miss a changed slot."""
    prompt, lagging = Evidence(), Evidence()
    slots = [Slot(step=0, window=window_at(at)) for at in range(20, 26)]
    for evidence in (prompt, lagging):
        for slot in slots:
            evidence.add(slot, a_key(OLD), a_tally(90))
    for slot in slots:
        prompt.add(slot, a_key(NEW), a_tally(10, 1))
    for slot in reversed(slots):
        lagging.add(slot, a_key(NEW), a_tally(10, 1))
        late = judge(a_move(), a_policy(), lagging)
    assert late == judge(a_move(), a_policy(), prompt)


def test_compaction_keeps_counts_and_verdict() -> None:
    """Guards against losing the start of a long move."""
    evidence, whole = Evidence(), Evidence()
    for second in range(40):
        for part in (evidence, whole):
            slot = Slot(step=2, window=window_at(second))
            part.add(slot, a_key(OLD), a_tally(90))
            part.add(slot, a_key(NEW), a_tally(10, second % 2))
        judged = judge(a_move(), a_policy(), evidence)
        evidence.compact(window_at(second - 5))
    assert len(evidence.cells_by_slot) == 6
    assert evidence.calls(NEW) == whole.calls(NEW) == 400
    assert judged == judge(a_move(), a_policy(), whole)


def test_report_after_compaction_is_counted() -> None:
    """Guards against calls that vanish from a move's record."""
    evidence = Evidence()
    for second in range(9):
        add_good_second(evidence, second)
    judge(a_move(), a_policy(), evidence)
    evidence.compact(window_at(8))
    evidence.add(Slot(step=2, window=window_at(3)), a_key(NEW), a_tally(7))
    assert evidence.calls(NEW) == 9 * 15 + 7


def test_collector_sums_reports_of_many_nodes() -> None:
    """Guards against bytes that grow with the number of nodes."""
    collector = OutcomeCollector()
    for _ in range(50):
        collector.add(
            Outcomes(move='m', step=2, rows=[a_row(), a_row(version=OLD)])
        )
    reports = collector.drain()
    assert [len(report.rows) for report in reports] == [2]
    assert reports[0].rows[0].calls == 250
    assert reports[0].rows[0].latency_counts == {'14': 200}
    assert not collector.drain()


def test_row_survives_the_wire() -> None:
    """Guards against buckets that change their type on the wire."""
    report = Outcomes(
        move='m', step=2, rows=[row_of(a_key(NEW), a_tally(9, 2, 1))]
    )
    received = decode_frame(encode_frame(report)).body
    assert isinstance(received, Outcomes)
    assert tally_of(received.rows[0]) == a_tally(9, 2, 1)

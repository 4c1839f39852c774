"""Guards against evidence that depends on the path of the reports."""

from hypothesis import given
from hypothesis import strategies as st
from mustardspur_core.messages import Outcomes
from mustardspur_core.wire import decode_frame, encode_frame
from mustardspur_moves import (
    Evidence,
    OutcomeCollector,
    Slot,
    evaluate_version,
    merge,
)
from mustardspur_moves.evidence import counts_of, row_of

from tests.moves.builders import (
    NEW,
    OLD,
    a_cell_counts,
    a_key,
    a_move,
    a_policy,
    a_row,
    add_good_second,
    window_at,
)

_reports = st.lists(
    st.tuples(
        st.builds(Slot, step=st.integers(0, 2), window=st.integers(0, 4)),
        st.sampled_from([a_key(OLD), a_key(NEW), a_key(NEW, target='t1')]),
        st.builds(a_cell_counts, st.integers(5, 9), st.integers(0, 5)),
    ),
    max_size=8,
)


def _evidence(reports: list[tuple[Slot, object, object]]) -> Evidence:
    evidence = Evidence()
    for slot, key, cell_counts in reports:
        evidence.add(slot, key, cell_counts)  # type: ignore[arg-type]
    return evidence


@given(_reports, _reports, _reports)
def test_merge_is_associative_and_commutative(
    one: list[tuple[Slot, object, object]],
    two: list[tuple[Slot, object, object]],
    three: list[tuple[Slot, object, object]],
) -> None:
    """Guards against sums that depend on the order of merging."""
    first, second, third = _evidence(one), _evidence(two), _evidence(three)
    left = merge(merge(first, second), third)
    assert left == merge(first, merge(third, second))
    assert left == _evidence(three + two + one)


def test_late_report_gives_the_same_verdict() -> None:
    """Guards against cached results that are stale after a slot changes."""
    prompt, lagging = Evidence(), Evidence()
    slots = [Slot(step=0, window=window_at(at)) for at in range(20, 26)]
    for evidence in (prompt, lagging):
        for slot in slots:
            evidence.add(slot, a_key(OLD), a_cell_counts(90))
    for slot in slots:
        prompt.add(slot, a_key(NEW), a_cell_counts(10, 1))
    for slot in reversed(slots):
        lagging.add(slot, a_key(NEW), a_cell_counts(10, 1))
        late = evaluate_version(a_move(), a_policy(), lagging)
    assert late == evaluate_version(a_move(), a_policy(), prompt)


def test_compaction_keeps_counts_and_verdict() -> None:
    """Guards against losing the first slots of a long move."""
    compacted, complete = Evidence(), Evidence()
    for second in range(40):
        for evidence in (compacted, complete):
            slot = Slot(step=2, window=window_at(second))
            evidence.add(slot, a_key(OLD), a_cell_counts(90))
            evidence.add(slot, a_key(NEW), a_cell_counts(10, second % 2))
        verdict = evaluate_version(a_move(), a_policy(), compacted)
        compacted.compact(window_at(second - 5))
    assert len(compacted.cells_by_slot) == 6
    assert compacted.calls(NEW) == complete.calls(NEW) == 400
    assert verdict == evaluate_version(a_move(), a_policy(), complete)


def test_report_after_compaction_is_counted() -> None:
    """Guards against losing calls that are reported after compaction."""
    evidence = Evidence()
    for second in range(9):
        add_good_second(evidence, second)
    evaluate_version(a_move(), a_policy(), evidence)
    evidence.compact(window_at(8))
    evidence.add(
        Slot(step=2, window=window_at(3)), a_key(NEW), a_cell_counts(7)
    )
    assert evidence.calls(NEW) == 9 * 15 + 7


def test_collector_sums_reports_of_many_nodes() -> None:
    """Guards against report sizes that grow with the number of nodes."""
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


def test_row_is_unchanged_by_encoding() -> None:
    """Guards against bucket numbers that change their type when sent."""
    report = Outcomes(
        move='m', step=2, rows=[row_of(a_key(NEW), a_cell_counts(9, 2, 1))]
    )
    received = decode_frame(encode_frame(report)).body
    assert isinstance(received, Outcomes)
    assert counts_of(received.rows[0]) == a_cell_counts(9, 2, 1)

"""Tests of the summary of the evidence on a transfer."""

from mustardspur_control.mesh.evidence import RunKey, RunTotals
from mustardspur_control.mesh.evidence_summary import MAX_ROUTES, summarize
from mustardspur_moves.histogram import bucket_of, lower_bound_ms


def test_both_versions_are_shown_by_route() -> None:
    """The log shows what a version was compared with."""
    new = RunTotals(20, 2, 18, 3600, unanswered=5)
    new.latency_counts = {bucket_of(100): 12, bucket_of(1500): 11}
    old = RunTotals(200, 1, 199, 20_000)
    old.latency_counts = {bucket_of(100): 199}
    summary = summarize(
        {RunKey('v2', 'a', 'n1'): new, RunKey('v1', 'a', 'n2'): old}, 'v2'
    )
    middle, top = (
        round(lower_bound_ms(bucket_of(value))) for value in (100, 1500)
    )
    assert summary == {
        'a': ([20, 2, 5, middle, top], [200, 1, 0, middle, middle])
    }


def test_number_of_routes_is_bounded() -> None:
    """A table with many routes does not make lines long."""
    totals = {
        RunKey('v2', str(number), 'n1'): RunTotals(number)
        for number in range(99)
    }
    summary = summarize(totals, 'v2')
    assert list(summary) == [str(98 - place) for place in range(MAX_ROUTES)]

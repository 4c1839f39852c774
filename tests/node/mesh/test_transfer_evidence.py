"""Tests of the counts of runs that a node reports during a transfer."""

from mustardspur_core.conversion import decode_array, encode_array
from mustardspur_core.mesh.control_messages import RouteOutcomeCounts
from mustardspur_moves.histogram import bucket_of
from mustardspur_node.mesh.transfer_evidence import TransferEvidence

_KEY = ('forms', 'v2', 'drafts')


def test_unanswered_runs_are_reported_with_their_time() -> None:
    """Runs that are given up are counted apart from the ended ones."""
    evidence = TransferEvidence()
    evidence.record(_KEY, 100, failed=False, timed=True)
    evidence.record_unanswered(_KEY, 1500, timed=True)
    row = evidence.rows[0]
    assert (row.runs, row.failed, row.timed, row.unanswered) == (1, 0, 1, 1)
    assert row.latency_buckets == [bucket_of(100), bucket_of(1500)]
    assert row.latency_counts == [1, 1]


def test_times_at_cold_targets_are_not_reported() -> None:
    """A cold target is slow whatever its version is."""
    evidence = TransferEvidence()
    evidence.record(_KEY, 900, failed=False, timed=False)
    evidence.record_unanswered(_KEY, 1500, timed=False)
    row = evidence.rows[0]
    assert (row.runs, row.unanswered) == (1, 1)
    assert not row.latency_counts


def test_rows_of_earlier_builds_are_decoded() -> None:
    """Nodes of earlier builds report neither histogram nor unanswered runs."""
    evidence = TransferEvidence()
    evidence.record(_KEY, 100, failed=False, timed=False)
    row = evidence.rows[0]
    array = encode_array(row)
    assert len(array) == len(RouteOutcomeCounts.__slots__) - 3
    assert decode_array(RouteOutcomeCounts, array) == row

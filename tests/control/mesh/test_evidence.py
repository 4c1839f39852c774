"""Tests of the aggregation of call outcomes during a transfer."""

import asyncio

import pytest
from mustardspur_control.mesh.evidence import (
    WINDOW_S,
    EvidenceAggregator,
    RunKey,
    RunTotals,
)
from mustardspur_core.mesh.control_messages import (
    MeshEvidence,
    RouteOutcomeCounts,
)

from tests.node.stand_ins.memory import uncollected_memory
from tests.support.virtual_time import in_virtual_time

_KEY = RunKey(version='v2', route='drafts', node='n1')


def _evidence(
    node: str,
    runs: int,
    failed: int,
    incarnation: int = 1,
) -> MeshEvidence:
    return MeshEvidence(
        node=node,
        incarnation=incarnation,
        rows=[
            RouteOutcomeCounts(
                service='forms',
                version='v2',
                route='drafts',
                runs=runs,
                failed=failed,
                timed=runs,
                timed_ms=50.0 * runs,
                unanswered=0,
                latency_buckets=[],
                latency_counts=[],
            ),
        ],
    )


def _figures(counts: RunTotals) -> tuple[int, int, int, float]:
    return (counts.runs, counts.failed, counts.timed, counts.timed_ms)


def _runs_and_failures(counts: RunTotals) -> tuple[int, int]:
    return (counts.runs, counts.failed)


def test_counts_of_nodes_add_up() -> None:
    """A later report of a node replaces its earlier one in the sum."""
    aggregator = EvidenceAggregator()
    aggregator.record(_evidence('n1', 10, 1))
    aggregator.record(_evidence('n1', 20, 2))
    aggregator.record(_evidence('n2', 5, 0))
    counts = aggregator.totals('forms')
    assert set(counts) == {_KEY, _KEY._replace(node='n2')}
    assert _figures(counts[_KEY]) == (20, 2, 20, 1000.0)
    assert _figures(counts[_KEY._replace(node='n2')]) == (5, 0, 5, 250.0)
    assert not aggregator.totals('stamps')


def test_counts_before_a_restart_stay() -> None:
    """Failures before the restart of a node stay in the totals."""
    aggregator = EvidenceAggregator()
    aggregator.record(_evidence('n1', 20, 8))
    aggregator.record(_evidence('n1', 2, 0, incarnation=2))
    assert _runs_and_failures(aggregator.totals('forms')[_KEY]) == (
        22,
        8,
    )


def test_restarts_without_end_are_added_up() -> None:
    """Guards against a node that states another incarnation with each message,
    and ends a control instance for its memory.
    """
    aggregator = EvidenceAggregator()
    with uncollected_memory() as allocated:
        for incarnation in range(2000):
            aggregator.record(_evidence('n1', 2, 1, incarnation))
        assert allocated() < 100_000
    assert _runs_and_failures(aggregator.totals('forms')[_KEY]) == (4000, 2000)
    # Totals are the caller's own.
    aggregator.totals('forms')[_KEY].runs = 0
    assert aggregator.totals('forms')[_KEY].runs == 4000
    aggregator.remove_service('forms')
    assert not aggregator.totals('forms')


def test_names_before_restarts_are_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a node that states other names in each incarnation."""
    monkeypatch.setattr('mustardspur_control.mesh.evidence.MAX_SUMS', 2)
    aggregator = EvidenceAggregator()
    for number in range(5):
        stated = _evidence('n1', 1, 0, number)
        stated.rows[0].route = str(number)
        aggregator.record(stated)
    assert len(aggregator.totals('forms')) == 3
    aggregator.remove_service('forms')
    aggregator.record(_evidence('n1', 1, 0, 5))
    aggregator.record(_evidence('n1', 1, 0, 6))
    assert aggregator.totals('forms')[_KEY].runs == 2


@in_virtual_time
async def test_recent_counts_exclude_old_ones() -> None:
    """A late fault is not outweighed by successful calls before it."""
    aggregator = EvidenceAggregator()
    aggregator.record(_evidence('n1', 1000, 0))
    aggregator.recent('forms')
    await asyncio.sleep(WINDOW_S + 0.1)
    aggregator.record(_evidence('n1', 1010, 6))
    recent = aggregator.recent('forms')[_KEY]
    assert _runs_and_failures(recent) == (10, 6)


def test_next_transfer_starts_without_counts() -> None:
    """A transfer is not evaluated by the counts of the previous one."""
    aggregator = EvidenceAggregator()
    aggregator.record(_evidence('n1', 20, 8))
    aggregator.remove_service('forms')
    assert not aggregator.totals('forms')


def test_damaged_histogram_is_left_out() -> None:
    """Counts below 1 must not end the evaluation of a transfer."""
    aggregator = EvidenceAggregator()
    evidence = _evidence('n1', 10, 1)
    evidence.rows[0].latency_buckets = [20, 28, 36, 44]
    evidence.rows[0].latency_counts = [9, 0, -4]
    aggregator.record(evidence)
    assert aggregator.totals('forms')[_KEY].latency_counts == {20: 9}

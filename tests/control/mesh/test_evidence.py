"""Tests of the counts behind a transfer."""

import asyncio

from mustardspur_control.mesh.evidence import WINDOW_S, EvidenceBook
from mustardspur_core.mesh.control_messages import (
    EvidenceRow,
    MeshEvidence,
)

from tests.support.virtual_time import in_virtual_time


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
            EvidenceRow(
                service='forms',
                version='v2',
                route='drafts',
                runs=runs,
                failed=failed,
                timed=runs,
                busy_ms=50.0 * runs,
            ),
        ],
    )


def test_counts_of_nodes_add_up() -> None:
    """Guards against counts that are added at each report."""
    book = EvidenceBook()
    book.take(_evidence('n1', 10, 1))
    book.take(_evidence('n1', 20, 2))
    book.take(_evidence('n2', 5, 0))
    assert book.totals('forms') == {('v2', 'drafts'): (25, 2, 25, 1250.0)}
    assert not book.totals('stamps')


def test_counts_before_a_restart_stay() -> None:
    """Guards against failures that a restart of their node hides."""
    book = EvidenceBook()
    book.take(_evidence('n1', 20, 8))
    book.take(_evidence('n1', 2, 0, incarnation=2))
    assert book.totals('forms')['v2', 'drafts'][:2] == (22, 8)


@in_virtual_time
async def test_recent_counts_leave_out_the_old_ones() -> None:
    """Guards against a late fault that many good answers outweigh."""
    book = EvidenceBook()
    book.take(_evidence('n1', 1000, 0))
    book.recent('forms')
    await asyncio.sleep(WINDOW_S + 0.1)
    book.take(_evidence('n1', 1010, 6))
    assert book.recent('forms')['v2', 'drafts'][:2] == (10, 6)


def test_next_transfer_starts_without_counts() -> None:
    """Guards against a version that is judged by its predecessor."""
    book = EvidenceBook()
    book.take(_evidence('n1', 20, 8))
    book.forget('forms')
    assert not book.totals('forms')

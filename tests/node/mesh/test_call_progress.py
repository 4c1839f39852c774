"""Tests of the state of a call after faults of its placements."""

from mustardspur_node.mesh.call_progress import CallProgress
from mustardspur_node.mesh.calls import (
    PlacementFault,
    maybe_run_fault,
    not_sent_fault,
)

from tests.node.mesh.builders import mesh_call


def _call_progress() -> CallProgress:
    return CallProgress(mesh_call(), 'forms')


async def test_call_that_was_refused_did_not_run() -> None:
    """Guards against an uncertain outcome of a call that a target refused."""
    progress = _call_progress()
    progress.mark_may_run()
    progress.record_fault(
        PlacementFault('refused', '503', not_run=True, arrived=True),
    )
    assert not progress.may_run
    assert (progress.arrivals, progress.possible_runs) == (1, 0)


async def test_possible_run_is_kept_after_later_faults() -> None:
    """Guards against calls that are said not to have run but may have."""
    progress = _call_progress()
    progress.mark_may_run()
    progress.record_fault(maybe_run_fault('broken', 'reset'))
    progress.record_fault(not_sent_fault('busy', 'full'))
    assert progress.possible_runs == 1

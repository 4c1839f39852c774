"""Tests of what is known of a call after its faults."""

from mustardspur_node.mesh.calls import (
    PlaceFault,
    maybe_run,
    never_sent,
)
from mustardspur_node.mesh.journey import Journey

from tests.node.mesh.builders import mesh_call


def _journey() -> Journey:
    return Journey(mesh_call(), 'forms')


async def test_refusal_takes_back_that_the_call_may_run() -> None:
    """Guards against an unknown outcome for a call that a target refused."""
    journey = _journey()
    journey.note_sent()
    journey.note_fault(
        PlaceFault('refused', '503', not_run=True, arrived=True),
    )
    assert not journey.sent_on
    assert (journey.arrivals, journey.runs) == (1, 0)


async def test_broken_answer_stays_known() -> None:
    """Guards against a call that is said not to have run after it may have."""
    journey = _journey()
    journey.note_sent()
    journey.note_fault(maybe_run('broken', 'reset'))
    journey.note_fault(never_sent('busy', 'full'))
    assert journey.runs == 1

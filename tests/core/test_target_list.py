"""Tests of target lists, their revisions and deltas."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from mustardspur_core.record import replaced
from mustardspur_core.target_list import BadTargets, TargetList

from tests.support.samples import target

CHANGES = st.lists(
    st.tuples(st.sampled_from(['t1', 't2', 't3']), st.integers(0, 2)),
    max_size=12,
)


def _put(targets: TargetList, change: tuple[str, int]) -> None:
    name, slots = change
    targets.put(name, target(name, slots=slots) if slots else None)


@given(CHANGES, CHANGES)
def test_delta_leads_from_any_revision(
    before: list[tuple[str, int]],
    after: list[tuple[str, int]],
) -> None:
    """Guards against a delta that omits or reverts a change."""
    source = TargetList('forms')
    for change in before:
        _put(source, change)
    held = TargetList('forms').updated(source.update_from(''))
    assert held.revision == source.revision
    for later_change in after:
        _put(source, later_change)
    held = held.updated(source.update_from(held.revision))
    assert held.targets_by_id == source.targets_by_id


def test_revision_does_not_depend_on_order() -> None:
    """Guards against a full copy when a node changes its control instance."""
    lists = TargetList('a'), TargetList('b')
    for name in ('t1', 't2'):
        lists[0].put(name, target(name))
    for reversed_name in ('t2', 't1'):
        lists[1].put(reversed_name, target(reversed_name))
    assert lists[0].revision == lists[1].revision


def test_delta_on_other_base_is_refused() -> None:
    """Guards against a wrong list after a delta for another base."""
    source = TargetList('forms')
    source.put('t1', target('t1'))
    revision = source.revision
    source.put('t2', target('t2'))
    delta = source.update_from(revision)
    with pytest.raises(BadTargets):
        TargetList('forms').updated(delta)
    with pytest.raises(BadTargets):
        TargetList('forms').updated(replaced(delta, full=True))

"""Tests the registry of targets of a control instance."""

from collections.abc import Callable

import pytest
from mustardspur_control.registry import Registry
from mustardspur_core.record import replaced
from mustardspur_core.state import Target
from mustardspur_core.target_list import TargetList

from tests.support.samples import control_settings, target


class Clock:
    """A monotonic clock that a test advances."""

    def __init__(self) -> None:
        """Start at 0."""
        self.now_s: float = 0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now_s


def registry_at(clock: Callable[[], float]) -> Registry:
    """Return an empty registry of a control instance."""
    return Registry(control_settings(), clock)


def run_until(end_s: float, clock: Clock, registry: Registry) -> None:
    """Advance the clock and expire leases every 0.25 s."""
    while clock.now_s < end_s:
        clock.now_s += 0.25
        registry.expire()


def names(registry: Registry) -> list[tuple[str, int]]:
    """Return identifier and incarnation of each target."""
    return [(each.id, each.incarnation) for each in registry.targets('forms')]


ACCEPTED = target('t1', incarnation=5)


@pytest.mark.parametrize(
    ('newer', 'expected', 'is_refused'),
    [
        (target('t1', incarnation=5), [('t1', 5)], False),
        (target('t1', incarnation=6), [('t1', 6)], False),
        (target('t1', incarnation=4, node='n1'), [('t1', 5)], True),
        (target('t1', incarnation=9, node='n2'), [('t1', 9)], False),
        (target('t1', incarnation=5, node='n2'), [('t1', 5)], True),
        (
            target('t1', incarnation=9, node='n2', address='127.0.0.1:1'),
            [('t1', 5)],
            True,
        ),
        (
            replaced(target('t2', incarnation=6), address=ACCEPTED.address),
            [('t2', 6)],
            False,
        ),
    ],
)
def test_claims_to_one_target(
    newer: Target,
    expected: list[tuple[str, int]],
    is_refused: bool,
) -> None:
    """Guards against duplicates, older incarnations and claims of others."""
    registry = registry_at(Clock())
    registry.announce('n1', [ACCEPTED])
    faults = registry.announce(newer.node, [newer])
    assert bool(faults) == is_refused
    assert names(registry) == expected


def test_address_goes_to_the_newer_of_two_nodes() -> None:
    """Guards against a target whose address a newer target uses."""
    registry = registry_at(Clock())
    registry.announce('n1', [ACCEPTED])
    newer = target('t2', incarnation=6, node='n2', address=ACCEPTED.address)
    registry.announce('n2', [newer])
    assert names(registry) == [('t2', 6)]
    registry.announce('n2', [])
    assert names(registry) == [('t1', 5)]


def test_lease_expires_without_renewal() -> None:
    """Guards against targets of a lost node that are never removed."""
    clock = Clock()
    registry = registry_at(clock)
    registry.announce('n1', [target('t1')])
    run_until(2.75, clock, registry)
    registry.renew('n1')
    run_until(5.5, clock, registry)
    assert names(registry) == [('t1', 1)]
    run_until(5.75, clock, registry)
    assert names(registry) == []
    assert not registry.own_targets.targets_by_id


def test_stalled_process_expires_no_lease() -> None:
    """Guards against removing all targets after a stall of the process."""
    clock = Clock()
    registry = registry_at(clock)
    registry.announce('n1', [target('t1')])
    clock.now_s = 60
    registry.expire()
    assert names(registry) == [('t1', 1)]


def test_unsettled_registry_removes_nothing() -> None:
    """Guards against a restarted registry that removes valid targets."""
    clock = Clock()
    before = registry_at(clock)
    before.settled = True
    before.announce('n1', [target('t1')])
    before.announce('n2', [target('t2', node='n2')])
    node_targets = TargetList('forms').updated(before.update_from('forms', ''))
    restarted = registry_at(clock)
    restarted.announce('n1', [target('t1')])
    assert not restarted.needs_update('forms', node_targets.revision)
    restarted.announce('n1', [target('t1', state='draining')])
    partial = restarted.update_from('forms', node_targets.revision)
    assert node_targets.updated(partial).targets_by_id.keys() == {'t1', 't2'}
    assert [each.state for each in partial.upserts] == ['draining']
    run_until(8, clock, restarted)
    restarted.announce('n1', [target('t1', state='draining')])
    run_until(10, clock, restarted)
    complete = restarted.update_from('forms', partial.revision)
    assert node_targets.updated(complete).targets_by_id.keys() == {'t1'}


def test_targets_outlive_their_control_instance() -> None:
    """Guards against removing targets at once with their control instance."""
    clock = Clock()
    registry = registry_at(clock)
    source = TargetList('')
    source.put('t1', target('t1'))
    registry.merge('c2', source.update_from(''))
    registry.mark_peer_disconnected('c2')
    run_until(8.75, clock, registry)
    assert names(registry) == [('t1', 1)]
    run_until(9, clock, registry)
    assert names(registry) == []

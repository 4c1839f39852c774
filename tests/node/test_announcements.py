"""Tests the announcements of targets to a node."""

from typing import Any

import pytest
from mustardspur_core.strict_json import parse_json
from mustardspur_node.announcements import Announcements

from demo.target import StandInTarget, TargetSettings
from tests.support.samples import announcement, node_settings


class Clock:
    """A monotonic clock that a test advances."""

    def __init__(self) -> None:
        """Start at 0."""
        self.now_s: float = 0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now_s


def run_until(
    end_s: float,
    clock: Clock,
    announcements: Announcements,
) -> None:
    """Advance the clock and expire leases every 0.25 s."""
    while clock.now_s < end_s:
        clock.now_s += 0.25
        announcements.expire()


@pytest.mark.parametrize(
    ('changes', 'path'),
    [
        ({'address': '127.0.0.9:9001'}, '$.address'),
        ({'address': 'localhost:9001'}, '$.address'),
        ({'service': 'stamps'}, '$.service'),
        ({'incarnation': 4}, '$.incarnation'),
        ({'id': 't2', 'incarnation': 4}, '$.incarnation'),
        ({'state': 'asleep'}, '$.state'),
        ({'slots': 0}, '$.slots'),
        ({'incarnation': 10**30}, '$.incarnation'),
        ({'address': '127.0.0.1:65536'}, '$.address'),
        ({'address': '127.0.0.1:0'}, '$.address'),
        ({'colour': 'red'}, '$'),
    ],
)
def test_wrong_announcement_names_its_fault(
    changes: dict[str, Any],
    path: str,
) -> None:
    """Guards against targets of other instances and older incarnations."""
    announcements = Announcements(node_settings())
    assert announcements.accept(announcement(incarnation=5)).is_ok()
    refusal = announcements.accept(
        announcement(**{'incarnation': 5, **changes})
    )
    assert [finding.path for finding in refusal.error.entries] == [path]
    assert [each.incarnation for each in announcements.targets] == [5]


@pytest.mark.parametrize('depth', [100, 900, 100_000])
def test_deeply_nested_announcement_is_refused(depth: int) -> None:
    """Guards against a recursion error that ends the request."""
    nested = b'{"extra":%b%b}' % (
        b'['.ljust(depth, b'['),
        b']'.ljust(depth, b']'),
    )
    parsed = parse_json(nested, 'announcement')
    if parsed.is_ok():
        announcements = Announcements(node_settings())
        assert announcements.accept(parsed.ok).is_error()


def test_lease_ends_and_can_begin_again() -> None:
    """Guards against targets that outlive their lease or cannot return."""
    clock = Clock()
    announcements = Announcements(node_settings(), clock)
    changes: list[int] = []
    announcements.on_change(lambda: changes.append(len(announcements.targets)))
    announcements.accept(announcement())
    run_until(2.75, clock, announcements)
    announcements.accept(announcement())
    run_until(5.5, clock, announcements)
    assert len(announcements.targets) == 1
    run_until(5.75, clock, announcements)
    announcements.accept(announcement())
    assert changes == [1, 0, 1]


def test_new_target_replaces_one_at_its_address() -> None:
    """Guards against two targets at a reused address."""
    announcements = Announcements(node_settings())
    announcements.accept(announcement())
    announcements.accept(announcement(id='t2', incarnation=2))
    assert [each.id for each in announcements.targets] == ['t2']


def test_announcement_of_the_demo_is_accepted() -> None:
    """Guards against a demo whose nodes refuse its targets."""
    settings = TargetSettings(
        id='t1',
        service=announcement()['service'],
        version='1.4.0',
        address=announcement()['address'],
        node='',
        slots=9,
        fault_share=0,
        fault_after_s=0,
        work_s=0,
        runs='',
    )
    accepted = Announcements(node_settings()).accept(
        StandInTarget(settings).announcement(),
    )
    assert accepted.is_ok()

"""Tests of the time line."""

from pathlib import Path

from mustardspur_core.timeline import Timeline

# Each write to it fails, as on a full disk.
_FULL = Path('/dev/full')


def test_event_on_a_full_disk_raises_nothing() -> None:
    """Guards against a control instance that ends, as an event of its log
    cannot be written to the time line.
    """
    timeline = Timeline('c1', 'split-a', _FULL)
    timeline.record('leader_elected', term=1)
    timeline.record('leader_elected', term=2)
    timeline.close()

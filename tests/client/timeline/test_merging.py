"""Guards against an order of events that is based on wrong clocks."""

import tempfile
from collections.abc import Callable, Mapping
from pathlib import Path
from types import MappingProxyType

import pytest
from hypothesis import given
from hypothesis import strategies as st
from mustardspur_client.timeline import MergedTimeline, merge, read_events
from mustardspur_client.timeline.causes import causes

from tests.client.timeline.recorders import START_S, Mesh, Recorder

# Longest delay of one message in the generated meshes. An event follows the
# proposal by at most four messages, so no estimate may be off by more than four
# delays.
MAX_DELAY_S = 0.2
MAX_ERROR_S = 4 * MAX_DELAY_S
_AHEAD = st.floats(min_value=-600, max_value=600)
_DELAY = st.floats(min_value=0.001, max_value=MAX_DELAY_S)
_Record = Callable[[Recorder, Recorder], None]


def _merged(*recorders: Recorder) -> MergedTimeline:
    return merge(read_events(recorder.path for recorder in recorders))


def _names(timeline: MergedTimeline) -> list[str]:
    events = [entry.event for entry in timeline.merged]
    return [' '.join((event.process, event.name)) for event in events]


def _assert_causes_first(timeline: MergedTimeline) -> None:
    order = [entry.event.key for entry in timeline.merged]
    for cause, effect in timeline.pairs:
        assert order.index(cause.key) < order.index(effect.key)


@given(
    st.lists(_AHEAD, min_size=4, max_size=4),
    st.lists(st.lists(_DELAY, min_size=4, max_size=4), min_size=1, max_size=5),
)
def test_clocks_minutes_apart(
    ahead_s: list[float],
    delays_s: list[list[float]],
) -> None:
    """Guards against effects before causes and offsets with large errors."""
    with tempfile.TemporaryDirectory() as folder:
        mesh = Mesh(Path(folder), ahead_s)
        for index, delays in enumerate(delays_s, start=1):
            mesh.edit(index, delays)
        timeline = merge(read_events(mesh.paths))
    assert timeline.misplaced == 0
    assert len(timeline.merged) == 2 + 8 * len(delays_s)
    _assert_causes_first(timeline)
    errors_s = [
        timeline.clocks[f'{recorder.process}#1'].offset_s - recorder.booted_s
        for recorder in mesh.recorders
    ]
    assert max(errors_s) - min(errors_s) <= MAX_ERROR_S


def test_order_does_not_follow_wall_clocks(tmp_path: Path) -> None:
    """Guards against a merge that sorts only by the wall clock."""
    mesh = Mesh(tmp_path, [300, 0, -300, 120])
    mesh.edit(1, [0.01, 0.02, 0.03, 0.02])
    timeline = merge(read_events(mesh.paths))
    names = _names(timeline)
    assert [name for name in names if name.startswith(('c1', 'n1'))] == [
        'c1 node_connected',
        'c1 entry_proposed',
        'c1 config_accepted',
        'c1 entry_committed',
        'n1 config_in_force',
        'c1 applied',
    ]
    assert names.index('c2 config_accepted') < names.index(
        'n2 config_in_force',
    )
    bounded = timeline.clocks['n1#1']
    ahead = bounded.ahead_s - timeline.clocks['c1#1'].ahead_s
    assert ahead == pytest.approx(-600, abs=0.03)
    assert bounded.error_s == pytest.approx(0.025, abs=0.001)


def _cut_off(first: Recorder, second: Recorder) -> None:
    first.record(1, 'cut_off', move='m', origin='p')
    second.record(1.01, 'cut_off', move='m', origin='p')


def _elected(first: Recorder, second: Recorder) -> None:
    first.record(1, 'leader_elected', term=4)
    second.record(1.01, 'leader_known', term=4, leader='p')


def _proposed(first: Recorder, second: Recorder) -> None:
    first.record(1, 'entry_proposed', entry='e')
    first.record(1.02, 'entry_committed', entry='e', index=9)
    second.record(1.01, 'config_in_force', service='s', index=9)


def _reported(first: Recorder, second: Recorder) -> None:
    first.record(1, 'config_in_force', service='s', index=9)
    second.record(1.01, 'applied', node='p', service='s', index=9)


def _accepted(first: Recorder, second: Recorder) -> None:
    first.record(0.5, 'node_connected', node='q')
    first.record(1, 'config_accepted', service='s', index=9)
    second.record(1.01, 'config_in_force', service='s', index=9)
    first.record(1.02, 'applied', node='q', service='s', index=9)


RULES: Mapping[str, tuple[_Record, int]] = MappingProxyType(
    {
        'cut-off': (_cut_off, 1),
        'election': (_elected, 1),
        'proposal': (_proposed, 1),
        'report': (_reported, 1),
        'acceptance': (_accepted, 2),
    }
)


@pytest.mark.parametrize('name', RULES)
@pytest.mark.parametrize('ahead_s', [-240, 240])
def test_rule(tmp_path: Path, name: str, ahead_s: float) -> None:
    """Guards against a rule that does not order two processes."""
    record, count = RULES[name]
    first, second = Recorder(tmp_path, 'p'), Recorder(tmp_path, 'q', ahead_s)
    record(first, second)
    timeline = _merged(first, second)
    assert len(timeline.pairs) == count
    _assert_causes_first(timeline)
    clocks = timeline.clocks
    ahead = clocks['q#1'].ahead_s - clocks['p#1'].ahead_s
    assert ahead == pytest.approx(ahead_s, abs=0.1)


def test_later_connected_node_gives_no_pair(tmp_path: Path) -> None:
    """Guards against a bound from a control instance without the node."""
    first, second = Recorder(tmp_path, 'p'), Recorder(tmp_path, 'q')
    first.record(1, 'config_accepted', service='s', index=9)
    first.record(2, 'node_connected', node='q')
    first.record(3, 'applied', node='q', service='s', index=9)
    second.record(0.5, 'config_in_force', service='s', index=9)
    events = read_events([first.path, second.path])
    assert [cause.process for cause, _ in causes(events)] == ['q']


def test_restart_begins_a_new_clock(tmp_path: Path) -> None:
    """Guards against one offset for two boots of an instance."""
    first = Recorder(tmp_path, 'p')
    first.record(1, 'leader_elected', term=1)
    first.sequence = 0
    first.booted_s = START_S
    first.ahead_s = -300
    first.record(50, 'leader_elected', term=2)
    timeline = _merged(first)
    assert list(timeline.clocks) == ['p#1', 'p#2']
    assert [entry.event.details['term'] for entry in timeline.merged] == [1, 2]


def test_unusable_lines_are_named(tmp_path: Path) -> None:
    """Guards against an unusable line that hides all other events."""
    first = Recorder(tmp_path, 'p')
    first.record(1, 'leader_elected', term=1)
    for line in ('{"wall_s": 1', '[]', '{"event": "x"}'):
        first.append(line)
    events = read_events([first.path])
    assert events.count == 1
    assert [finding.path for finding in events.findings] == [
        'line 2',
        'line 3',
        'line 4',
    ]


def test_contradictory_clocks_are_counted(tmp_path: Path) -> None:
    """Guards against a drifting clock that is fatal or not reported."""
    first, second = Recorder(tmp_path, 'p'), Recorder(tmp_path, 'q')
    first.record(1, 'config_in_force', service='s', index=1)
    second.record(1, 'applied', node='p', service='s', index=1)
    second.record(2, 'leader_elected', term=1)
    first.record(1.5, 'leader_known', term=1, leader='q')
    timeline = _merged(first, second)
    assert timeline.misplaced > 0
    assert _names(timeline).index('q leader_elected') < _names(timeline).index(
        'p leader_known',
    )

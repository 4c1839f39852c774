"""Tests of the times of a planned stop."""

import pytest
from mustardspur_node.mesh.stop_times import LoopGaps, StopTimes

_GRACE_S = 6.0


@pytest.mark.parametrize(
    ('runs_s', 'handled_s', 'arrived_s'),
    [
        ((100.2, 100.4), 100.5, 100.5),
        # Nothing ran between 100.2 and 102, when the signal was handled.
        ((100.2,), 102.0, 100.2),
        ((100.2,), 103.0, 100.2),
        # A check ran first, and handled what had arrived shortly after.
        ((100.2, 102.0), 102.3, 100.2),
        ((100.2, 102.0, 102.2, 102.4, 102.6), 102.7, 102.7),
    ],
)
def test_signal_counts_from_the_start_of_a_gap(
    monkeypatch: pytest.MonkeyPatch,
    runs_s: tuple[float, ...],
    handled_s: float,
    arrived_s: float,
) -> None:
    """Guards against a grace time that is counted from the time at which the
    process got the processor again, and against one that is cut short by a
    pause that ended long before.
    """
    now = iter((100.0, *runs_s, handled_s, handled_s))
    monkeypatch.setattr(f'{LoopGaps.__module__}.clock_s', lambda: next(now))
    gaps = LoopGaps()
    for _ in runs_s:
        gaps.record()
    times = StopTimes(_GRACE_S, gaps.earliest_arrival_s())
    assert times.delayed_s == pytest.approx(handled_s - arrived_s)
    assert times.listening_until_s == pytest.approx(
        min(handled_s + 2.3, arrived_s + 4.5)
    )
    assert times.late_from_s == pytest.approx(arrived_s + 3)
    assert times.unsent_until_s == pytest.approx(arrived_s + 4.5)
    assert times.end_s == pytest.approx(handled_s + 5)

"""Tests the events that order the time lines of several processes."""

import json
from collections import deque
from pathlib import Path
from typing import Any

from mustardspur_control.local_log import LocalLog
from mustardspur_control.store import Store
from mustardspur_control.timelines import ChangeRecorder, RecordedLog
from mustardspur_core.timeline import Timeline
from mustardspur_core.wire import encode_frame

from tests.control.builders import MOVE_ENTRIES, SERVICE


async def _events(path: Path) -> list[dict[str, Any]]:
    store = Store()
    timeline = Timeline('c1', 'split-a', path)
    log = RecordedLog(LocalLog('c1', store), timeline)
    ChangeRecorder(store, timeline)
    remaining = deque(MOVE_ENTRIES)
    while remaining:
        proposal = await log.propose(encode_frame(remaining.popleft()))
        assert proposal.ok.index == log.commit_index
    timeline.close()
    return [json.loads(line) for line in path.read_text().splitlines()]


async def test_proposal_is_recorded_before_its_index(tmp_path: Path) -> None:
    """Guards against a committed index without an earlier proposal."""
    events = await _events(tmp_path / 'c1.jsonl')
    assert [event['event'] for event in events] == [
        'entry_proposed',
        'entry_committed',
        'entry_proposed',
        'config_accepted',
        'entry_committed',
        'entry_proposed',
        'config_accepted',
        'entry_committed',
    ]
    assert events[-3]['entry'] == events[-1]['entry']
    assert [event['index'] for event in events[-2:]] == [3, 3]


async def test_change_names_its_moves(tmp_path: Path) -> None:
    """Guards against steps of moves that are missing in the time line."""
    events = await _events(tmp_path / 'c1.jsonl')
    assert events[-2]['service'] == SERVICE
    assert events[-2]['moves'] == ['lens-bench:stable:3 running 0.0']

"""Reads the time lines of the demo's processes."""

import json
from collections import defaultdict
from pathlib import Path
from typing import Any


def read_events(folder: Path) -> list[dict[str, Any]]:
    """Return the events of all processes, ordered by wall clock."""
    events = [
        json.loads(line)
        for path in (folder / 'timeline').glob('*.jsonl')
        for line in path.read_text('utf-8').splitlines()
    ]
    return sorted(events, key=lambda event: event['wall_s'])


def convergence_s(folder: Path) -> list[float]:
    """Return the convergence time of each index, in seconds.

    Explanation
    ===========

    The time is measured from the commit of the index, or from the first node
    that has it in force if no commit is recorded, to the last node that has
    it in force. A node that skips an index is not counted for that index.
    """
    first_by_index: dict[int, float] = {}
    last_by_index: dict[int, float] = defaultdict(float)
    for event in read_events(folder):
        if event['event'] not in {'entry_committed', 'config_in_force'}:
            continue
        index = event['index']
        first_by_index.setdefault(index, event['wall_s'])
        if event['event'] == 'config_in_force':
            last_by_index[index] = event['wall_s']
    return [
        last_by_index[index] - first_by_index[index]
        for index in sorted(last_by_index)
    ]

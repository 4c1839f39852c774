"""Reading the time lines of the demo's processes."""

import json
from collections import defaultdict
from pathlib import Path
from typing import Any


def read_events(folder: Path) -> list[dict[str, Any]]:
    """Return the events of all processes in order of the wall clock."""
    events = [
        json.loads(line)
        for path in (folder / 'timeline').glob('*.jsonl')
        for line in path.read_text('utf-8').splitlines()
    ]
    return sorted(events, key=lambda event: event['wall_s'])


def convergence_s(folder: Path) -> list[float]:
    """Return for each index the time until its last node had it in force.

    Explanation
    ===========

    The time counts from the first node, or from the commit where the time
    line has it. A node that skips to a newer index does not count for the
    one that it skipped.
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

"""Measures apply, snapshot and restore: ``python -m benchmarks.store``."""

import json
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

from mustardspur_control.store import Store
from mustardspur_core.edits import FollowProfile, PutProfile
from mustardspur_core.profile import Profile, parse_profile
from mustardspur_core.record import Record
from mustardspur_core.units import MS_PER_S
from mustardspur_core.wire import encode_frame

SERVICES: Final = 190
EDITS_PER_DAY: Final = 8500
EDITED_AT_S: Final = 1_800_000_000.0
EXAMPLE_PROFILE: Final = Path('examples') / 'lens-bench-standard.json'


def main() -> None:
    """Print the measured times and sizes as one JSON object."""
    store = Store()
    for number in range(SERVICES):
        _apply(store, _make_put(f'p{number}', 0))
        _apply(store, _make_follow(f's{number}', f'p{number}'))
    edit_ms = _edit_ms(store)
    encoded = store.snapshot()
    measures = {
        'put_for_one_service_ms': edit_ms,
        'snapshot_ms': _cpu_ms(store.snapshot),
        'snapshot_bytes': len(encoded),
        'restore_ms': _cpu_ms(lambda: Store().restore(store.index, encoded)),
        'put_for_all_services_ms': _shared_edit_ms(store),
    }
    sys.stdout.write(f'{json.dumps(measures)}\n')


def _edit_ms(store: Store) -> float:
    """Return the mean processor time of an edit, over a day of edits."""
    started_s = time.process_time()
    for number in range(EDITS_PER_DAY):
        service_number = number % SERVICES
        name = f'p{service_number}'
        _apply(store, _make_put(name, store.profiles[name].number))
    duration_s = time.process_time() - started_s
    return duration_s * MS_PER_S / EDITS_PER_DAY


def _shared_edit_ms(store: Store) -> float:
    _apply(store, _make_put('shared', 0))
    for number in range(SERVICES):
        _apply(store, _make_follow(f's{number}', 'shared'))
    return _cpu_ms(lambda: _apply(store, _make_put('shared', 1)))


def _cpu_ms(run: Callable[[], Any]) -> float:
    started_s = time.process_time()
    run()
    return (time.process_time() - started_s) * MS_PER_S


def _apply(store: Store, entry: Record) -> None:
    answer = store.apply(store.index + 1, encode_frame(entry))
    if answer.status != 'accepted':
        raise AssertionError(answer)


def _make_put(name: str, number: int) -> PutProfile:
    edit_id = f'{name}-{number}'
    return PutProfile(
        edit_id=edit_id,
        operator='benchmark',
        expected_number=number,
        profile=_make_profile(name, f'1.{number}'),
        at_s=EDITED_AT_S,
    )


def _make_follow(service: str, name: str) -> FollowProfile:
    return FollowProfile(
        edit_id=f'{service}-{name}',
        operator='benchmark',
        service=service,
        profile=name,
        at_s=EDITED_AT_S,
    )


def _make_profile(name: str, version: str) -> Profile:
    document = json.loads(EXAMPLE_PROFILE.read_text('utf-8')) | {'name': name}
    document['target_sets']['stable']['version'] = version
    parsed: Profile = parse_profile(document, name, EDITED_AT_S).ok
    return parsed


if __name__ == '__main__':
    main()

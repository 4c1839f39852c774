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
AT_S: Final = 1_800_000_000.0
EXAMPLE: Final = Path('examples') / 'lens-bench-standard.json'


def main() -> None:
    """Print one JSON object with the measures."""
    store = Store()
    for place in range(SERVICES):
        _apply(store, _put(f'p{place}', 0))
        _apply(store, _follow(f's{place}', f'p{place}'))
    own_ms = _day(store)
    encoded = store.snapshot()
    measures = {
        'put_for_one_service_ms': own_ms,
        'snapshot_ms': _took_ms(store.snapshot),
        'snapshot_bytes': len(encoded),
        'restore_ms': _took_ms(lambda: Store().restore(store.index, encoded)),
        'put_for_all_services_ms': _shared(store),
    }
    sys.stdout.write(f'{json.dumps(measures)}\n')


def _day(store: Store) -> float:
    """Return the processor time of one edit, over a day of edits."""
    started_s = time.process_time()
    for place in range(EDITS_PER_DAY):
        own = place % SERVICES
        name = f'p{own}'
        _apply(store, _put(name, store.profiles[name].number))
    took_s = time.process_time() - started_s
    return took_s * MS_PER_S / EDITS_PER_DAY


def _shared(store: Store) -> float:
    _apply(store, _put('shared', 0))
    for place in range(SERVICES):
        _apply(store, _follow(f's{place}', 'shared'))
    return _took_ms(lambda: _apply(store, _put('shared', 1)))


def _took_ms(run: Callable[[], Any]) -> float:
    started_s = time.process_time()
    run()
    return (time.process_time() - started_s) * MS_PER_S


def _apply(store: Store, entry: Record) -> None:
    answer = store.apply(store.index + 1, encode_frame(entry))
    if answer.status != 'accepted':
        raise AssertionError(answer)


def _put(name: str, number: int) -> PutProfile:
    edit_id = f'{name}-{number}'
    return PutProfile(
        edit_id=edit_id,
        operator='benchmark',
        expected_number=number,
        profile=_profile(name, f'1.{number}'),
        at_s=AT_S,
    )


def _follow(service: str, name: str) -> FollowProfile:
    return FollowProfile(
        edit_id=f'{service}-{name}',
        operator='benchmark',
        service=service,
        profile=name,
        at_s=AT_S,
    )


def _profile(name: str, version: str) -> Profile:
    document = json.loads(EXAMPLE.read_text('utf-8')) | {'name': name}
    document['target_sets']['stable']['version'] = version
    parsed: Profile = parse_profile(document, name, AT_S).ok
    return parsed


if __name__ == '__main__':
    main()

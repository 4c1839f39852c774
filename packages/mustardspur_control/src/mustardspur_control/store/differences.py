"""Differences of two profiles, as lines for a person."""

import json
from collections.abc import Iterator
from typing import Any, Final

from mustardspur_core.conversion import encode_mapping
from mustardspur_core.profile import Profile

MAX_LISTED: Final = 40
MAX_VALUE_CHARS: Final = 80
_ABSENT: Final = object()


def profile_differences(old: Profile, new: Profile) -> list[str]:
    """Return one line for each place in which two profiles differ.

    Examples
    ========

    A line has the JSON path, the old and the new value::

        $.target_sets.stable.version: "1.4.0" -> "1.5.0"
    """
    old_values = dict(_leaves(encode_mapping(old), '$'))
    new_values = dict(_leaves(encode_mapping(new), '$'))
    paths = [
        path
        for path in dict.fromkeys([*old_values, *new_values])
        if old_values.get(path, _ABSENT) != new_values.get(path, _ABSENT)
    ]
    lines = [
        f'{path}: {_shown(old_values, path)} -> {_shown(new_values, path)}'
        for path in paths[:MAX_LISTED]
    ]
    surplus = len(paths) - MAX_LISTED
    return [*lines, f'and {surplus} more'] if surplus > 0 else lines


def _leaves(part: Any, path: str) -> Iterator[tuple[str, Any]]:
    if isinstance(part, dict) and part:
        for key, entry in part.items():
            yield from _leaves(entry, f'{path}.{key}')
    elif isinstance(part, list) and part:
        for place, entry in enumerate(part):
            yield from _leaves(entry, f'{path}[{place}]')
    else:
        yield path, part


def _shown(values_by_path: dict[str, Any], path: str) -> str:
    if path not in values_by_path:
        return 'absent'
    return json.dumps(values_by_path[path])[:MAX_VALUE_CHARS]

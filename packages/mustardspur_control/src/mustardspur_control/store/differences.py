"""Lists the differences of two profiles as lines of text."""

import json
from collections.abc import Iterator
from typing import Any, Final

from mustardspur_core.conversion import encode_mapping
from mustardspur_core.profile import Profile

MAX_LISTED: Final = 40
MAX_VALUE_CHARS: Final = 80
_ABSENT: Final = object()


def profile_differences(old: Profile, new: Profile) -> list[str]:
    """Return one line for each JSON path whose values differ.

    Examples
    ========

    A line has the JSON path, the old and the new value::

        $.target_sets.stable.version: "1.4.0" -> "1.5.0"
    """
    old_values = dict(_leaf_values(encode_mapping(old), '$'))
    new_values = dict(_leaf_values(encode_mapping(new), '$'))
    paths = [
        path
        for path in dict.fromkeys([*old_values, *new_values])
        if old_values.get(path, _ABSENT) != new_values.get(path, _ABSENT)
    ]
    lines = [
        f'{path}: {_as_text(old_values, path)} -> {_as_text(new_values, path)}'
        for path in paths[:MAX_LISTED]
    ]
    surplus = len(paths) - MAX_LISTED
    return [*lines, f'and {surplus} more'] if surplus > 0 else lines


def _leaf_values(value: Any, path: str) -> Iterator[tuple[str, Any]]:
    if isinstance(value, dict) and value:
        for key, entry in value.items():
            yield from _leaf_values(entry, f'{path}.{key}')
    elif isinstance(value, list) and value:
        for position, entry in enumerate(value):
            yield from _leaf_values(entry, f'{path}[{position}]')
    else:
        yield path, value


def _as_text(values_by_path: dict[str, Any], path: str) -> str:
    if path not in values_by_path:
        return 'absent'
    return json.dumps(values_by_path[path])[:MAX_VALUE_CHARS]

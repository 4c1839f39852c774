"""The page of the settings in the documentation, made from the schema."""

import json
import sys
from collections.abc import Iterator, Mapping
from importlib import resources
from types import MappingProxyType
from typing import Any, Final

from mustardspur_core.settings.loading import default_of

_HEAD: Final = """# Settings

A process reads one JSON file. This page is made from `settings.schema.json`
by `python -m mustardspur_core.settings.page`; a test compares them. A value
that does not fit is named with its place, what is expected and what was
found, and the process ends with exit code 2; at a reload the settings in
force stay, with the log line `settings not reloaded`. A process reads the
file again for a second before it ends, since the file may be written at that
moment, and waits 10 s for one that is missing or cannot be read; `--check`
does neither. Keys that are not listed are refused.

| field | holds | values | default |
|---|---|---|---|
"""
_PARTS: Final = ('listen', 'mesh', 'intervals')
_BOUNDS: Final = MappingProxyType(
    {
        'minimum': 'at least',
        'exclusiveMinimum': 'more than',
        'maximum': 'at most',
        'minLength': 'length at least',
    }
)


def settings_page() -> str:
    """Return the page as Markdown."""
    folder = resources.files('mustardspur_core.settings')
    schema = json.loads(folder.joinpath('settings.schema.json').read_text())
    rows = ''.join(_rows(schema['properties'], ''))
    patterns = ''.join(
        f'- {name}: `{rule["pattern"]}`\n'
        for name, rule in schema['$defs'].items()
    )
    return f'{_HEAD}{rows}\n{patterns}'


def _rows(fields: Mapping[str, Any], prefix: str) -> Iterator[str]:
    for name, rule in fields.items():
        path = prefix + name
        if name in _PARTS:
            yield from _rows(rule['properties'], f'{path}.')
        else:
            yield _row(path, rule)


def _row(path: str, rule: Mapping[str, Any]) -> str:
    default = default_of(path)
    shown = '' if default is None else f'`{json.dumps(default)}`'
    cells = (f'`{path}`', rule['description'], _values(rule), shown)
    row = ' | '.join(cells)
    return f'| {row} |\n'


def _values(rule: Mapping[str, Any]) -> str:
    reference = rule.get('$ref', '')
    if reference:
        return str(reference.rpartition('/')[2])
    choices = rule.get('enum', ())
    if choices:
        return ', '.join(f'`{each}`' for each in choices)
    listed = rule.get('items', {})
    if '$ref' in listed:
        return f'list of {_values(listed)}'
    bounds = [
        f'{text} {rule.get(key)}'
        for key, text in _BOUNDS.items()
        if key in rule
    ]
    return ', '.join([rule['type'], *bounds])


if __name__ == '__main__':
    sys.stdout.write(settings_page())

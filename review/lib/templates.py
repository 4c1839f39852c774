"""Rendering of the settings templates, as the deploy page describes it."""

import json
import re

_TAG = re.compile(r'\{\{([#^/]?)([^}]*)\}\}')


def render(text, fields):
    """Return a template with its placeholders filled in."""
    parts = _parse(list(_tokens(text)))
    return _render(parts, [fields])


def _tokens(text):
    position = 0
    for match in _TAG.finditer(text):
        yield ('text', text[position : match.start()])
        yield (match.group(1) or 'value', match.group(2).strip())
        position = match.end()
    yield ('text', text[position:])


def _parse(tokens):
    parts = []
    while tokens:
        kind, name = tokens.pop(0)
        if kind == '/':
            return parts
        if kind in {'#', '^'}:
            parts.append((kind, name, _parse(tokens)))
        else:
            parts.append((kind, name, None))
    return parts


def _render(parts, scopes):
    return ''.join(_render_part(part, scopes) for part in parts)


def _render_part(part, scopes):
    kind, name, inner = part
    if kind == 'text':
        return name
    if kind == 'value':
        name, _, form = name.partition('|')
        found = _look_up(name, scopes)
        if form == 'json':
            return json.dumps(found)
        if isinstance(found, list):
            return ','.join(map(str, found))
        return '' if found is None else str(found)
    found = _look_up(name, scopes)
    if kind == '^':
        return _render(inner, scopes) if not found else ''
    if isinstance(found, list):
        return ''.join(_render(inner, [*scopes, each]) for each in found)
    return _render(inner, scopes) if found else ''


def _look_up(name, scopes):
    if name == '.':
        return scopes[-1]
    for scope in reversed(scopes):
        found = scope
        for step in name.split('.'):
            if isinstance(found, list) and step.isdigit():
                found = found[int(step)] if int(step) < len(found) else None
            elif isinstance(found, dict):
                found = found.get(step)
            else:
                found = None
            if found is None:
                break
        if found is not None:
            return found
    return None

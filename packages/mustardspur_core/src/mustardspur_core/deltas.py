"""Deltas between two configurations of a service."""

import copy
from collections.abc import Iterator
from typing import Any, Final

from mustardspur_core.conversion import decode_mapping, encode_mapping
from mustardspur_core.readers import DecodeError
from mustardspur_core.record import Record
from mustardspur_core.state import ServiceConfig
from mustardspur_core.texts import describe_error

_SET: Final = 'set'
_REMOVED: Final = 'removed'
_Path = tuple[str, ...]
_Change = tuple[_Path, Any]


# Exceptions raised by a path or value that does not match the document.
_SHAPE_ERRORS: Final = (
    AttributeError,
    DecodeError,
    IndexError,
    KeyError,
    TypeError,
    ValueError,
)


class _Missing:
    __slots__ = ()


_MISSING: Final = _Missing()


class BadDelta(ValueError):
    """A delta cannot be applied to the given configuration."""


def make_delta(
    base: ServiceConfig,
    newest: ServiceConfig,
) -> dict[str, object]:
    """Return the differences of a configuration from a base.

    Parameters
    ----------
    base, newest : ServiceConfig
        Two configurations of the same service.

    Returns
    -------
    dict
        ``set`` is a list of pairs of path and new value, ``removed`` a list
        of paths. Routes are addressed by name and moves by identifier, so
        that a change of one does not repeat the others.

    See Also
    --------
    apply_delta : applies the result to a base.
    """
    changes = list(_differences(_to_document(base), _to_document(newest), ()))
    return {
        _SET: [
            [list(path), value]
            for path, value in changes
            if value is not _MISSING
        ],
        _REMOVED: [list(path) for path, value in changes if value is _MISSING],
    }


def apply_delta(
    base: ServiceConfig,
    delta: dict[str, Any],
) -> ServiceConfig:
    """Build a new configuration from a base and a delta.

    Raises
    ------
    BadDelta
        If a path does not exist in the base, or the result is not a valid
        configuration.
    """
    document = copy.deepcopy(_to_document(base))
    try:
        _apply_changes(document, delta)
    except _SHAPE_ERRORS as error:
        raise BadDelta(describe_error(error)) from error
    try:
        return _from_document(document)
    except _SHAPE_ERRORS as error:
        raise BadDelta(describe_error(error)) from error


def _apply_changes(document: dict[str, Any], delta: dict[str, Any]) -> None:
    for path in delta[_REMOVED]:
        _find_parent(document, path).pop(path[-1])
    for path, value in delta[_SET]:
        _find_parent(document, path)[path[-1]] = value


def _find_parent(document: dict[str, Any], path: list[str]) -> dict[str, Any]:
    parent = document
    for key in path[:-1]:
        parent = parent[key]
    if not isinstance(parent, dict):
        raise TypeError(f'{path}: the parent is not an object')
    return parent


def _differences(
    base: dict[str, Any],
    newest: dict[str, Any],
    path: _Path,
) -> Iterator[_Change]:
    for key in base.keys() - newest.keys():
        yield (*path, key), _MISSING
    for key, value in newest.items():
        before = base.get(key, _MISSING)
        if isinstance(value, dict) and isinstance(before, dict):
            yield from _differences(before, value, (*path, key))
        elif value != before:
            yield (*path, key), value


def _to_document(config: ServiceConfig) -> dict[str, Any]:
    document: dict[str, Any] = encode_mapping(config)
    profile = document['profile']
    profile['route_order'] = [route.name for route in config.profile.routes]
    profile['routes'] = _by_key(config.profile.routes, 'name')
    document['moves'] = _by_key(config.moves, 'id')
    return document


def _by_key(records: list[Any], key: str) -> dict[str, Any]:
    return {
        getattr(record, key): encode_mapping(record)
        for record in records
        if isinstance(record, Record)
    }


def _from_document(document: dict[str, Any]) -> ServiceConfig:
    profile = document['profile']
    order = profile.pop('route_order')
    profile['routes'] = [profile['routes'][name] for name in order]
    document['moves'] = list(document['moves'].values())
    return decode_mapping(ServiceConfig, document)

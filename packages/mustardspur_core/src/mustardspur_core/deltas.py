"""Differences between two configurations of a service."""

import copy
from collections.abc import Iterator
from typing import Any, Final

from mustardspur_core.conversion import decode_mapping, encode_mapping
from mustardspur_core.readers import DecodeError
from mustardspur_core.record import Record
from mustardspur_core.state import ServiceConfig

_SET: Final = 'set'
_REMOVED: Final = 'removed'
_Path = tuple[str, ...]
_Step = tuple[_Path, Any]


# What Python raises on a path or a part of another shape.
_SHAPE_ERRORS: Final = (
    AttributeError,
    DecodeError,
    IndexError,
    KeyError,
    TypeError,
    ValueError,
)


class _Gone:
    __slots__ = ()


_GONE: Final = _Gone()


class BadDelta(ValueError):
    """A delta does not fit the configuration that it is applied to."""


def make_delta(
    base: ServiceConfig,
    newest: ServiceConfig,
) -> dict[str, object]:
    """Return the parts of a configuration that differ from a base.

    Parameters
    ----------
    base, newest : ServiceConfig
        Two configurations of one service.

    Returns
    -------
    dict
        Under ``set`` a list of path and new value, under ``removed`` a list
        of paths. Routes and moves are addressed by name, so that a change of
        one does not repeat the others.

    See Also
    --------
    apply_delta : the way back.
    """
    steps = list(_differences(_keyed(base), _keyed(newest), ()))
    return {
        _SET: [[list(path), part] for path, part in steps if part is not _GONE],
        _REMOVED: [list(path) for path, part in steps if part is _GONE],
    }


def apply_delta(
    base: ServiceConfig,
    delta: dict[str, Any],
) -> ServiceConfig:
    """Build a new configuration from a base and a delta.

    Raises
    ------
    BadDelta
        If a path does not exist in the base, or the outcome is no valid
        configuration.
    """
    document = copy.deepcopy(_keyed(base))
    try:
        _apply_steps(document, delta)
    except _SHAPE_ERRORS as error:
        raise BadDelta(repr(error)) from error
    try:
        return _unkeyed(document)
    except _SHAPE_ERRORS as error:
        raise BadDelta(repr(error)) from error


def _apply_steps(document: dict[str, Any], delta: dict[str, Any]) -> None:
    for path in delta[_REMOVED]:
        _parent(document, path).pop(path[-1])
    for path, part in delta[_SET]:
        _parent(document, path)[path[-1]] = part


def _parent(document: dict[str, Any], path: list[str]) -> dict[str, Any]:
    place = document
    for key in path[:-1]:
        place = place[key]
    if not isinstance(place, dict):
        raise TypeError(f'{path} has no parent')
    return place


def _differences(
    base: dict[str, Any],
    newest: dict[str, Any],
    path: _Path,
) -> Iterator[_Step]:
    for key in base.keys() - newest.keys():
        yield (*path, key), _GONE
    for key, part in newest.items():
        earlier = base.get(key, _GONE)
        if isinstance(part, dict) and isinstance(earlier, dict):
            yield from _differences(earlier, part, (*path, key))
        elif part != earlier:
            yield (*path, key), part


def _keyed(config: ServiceConfig) -> dict[str, Any]:
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


def _unkeyed(document: dict[str, Any]) -> ServiceConfig:
    profile = document['profile']
    order = profile.pop('route_order')
    profile['routes'] = [profile['routes'][name] for name in order]
    document['moves'] = list(document['moves'].values())
    return decode_mapping(ServiceConfig, document)

"""Conversion between records and plain values, with type checks."""

import types
from collections.abc import Callable
from functools import cache
from typing import Any, TypeVar, Union, get_args, get_origin, get_type_hints

from mustardspur_core.readers import (
    DecodeError,
    Reader,
    describe,
    dict_reader,
    list_reader,
    scalar_reader,
)
from mustardspur_core.record import Record

_RecordT = TypeVar('_RecordT', bound=Record)
_SCALARS: tuple[type, ...] = (int, str, bool, float, bytes)
_SCALAR_TYPES = frozenset(_SCALARS)


def encode_array(source: Any) -> Any:
    """Convert a record to nested lists in field order, as sent on the wire.

    See Also
    --------
    decode_array : the inverse conversion.
    """
    # Scalars are checked first, since most values of a frame are scalars.
    if source.__class__ in _SCALAR_TYPES:
        return source
    if isinstance(source, Record):
        return [
            encode_array(getattr(source, name)) for name in _sent_fields(source)
        ]
    if isinstance(source, list | tuple):
        return [encode_array(value) for value in source]
    if isinstance(source, dict):
        return {key: encode_array(value) for key, value in source.items()}
    return source


def decode_array(record_type: type[_RecordT], array: object) -> _RecordT:
    """Build a record from nested lists in field order.

    Parameters
    ----------
    record_type : type
        Class of the record.
    array : object
        Result of `encode_array`, possibly from an untrusted peer.

    Returns
    -------
    Record
        The record; the type of every field is checked.

    Raises
    ------
    DecodeError
        If the list does not match the fields of the class.
    """
    record: _RecordT = _read_array(record_type, array, record_type.__name__)
    return record


def encode_mapping(source: Any) -> Any:
    """Convert a record to nested mappings by field name, for JSON."""
    if isinstance(source, Record):
        return {
            name: encode_mapping(getattr(source, name))
            for name in source.__slots__
        }
    if isinstance(source, list | tuple):
        return [encode_mapping(value) for value in source]
    if isinstance(source, dict):
        return {key: encode_mapping(value) for key, value in source.items()}
    return source


def decode_mapping(record_type: type[_RecordT], mapping: object) -> _RecordT:
    """Build a record from nested mappings by field name.

    Raises
    ------
    DecodeError
        If a field is missing, unknown or of the wrong type.
    """
    record: _RecordT = _read_mapping(record_type, mapping, '$')
    return record


def _sent_fields(source: Record) -> tuple[str, ...]:
    """Return the fields without the trailing ones that have their default."""
    names = source.__slots__
    for name in reversed(tuple(source.optional)):
        if getattr(source, name) != source.optional[name]():
            return names
        names = names[:-1]
    return names


def _read_array(
    record_type: Any,
    array: object,
    path: str,
) -> Any:
    names = record_type.__slots__
    least = len(names) - len(record_type.optional)
    if not isinstance(array, list) or not least <= len(array) <= len(names):
        raise DecodeError(
            path, f'a list of {len(names)} values', describe(array)
        )
    readers = _readers(record_type, _read_array)
    fields = {
        name: readers[name](value, f'{path}.{name}')
        for name, value in zip(names, array, strict=False)
    }
    for name in names[len(array) :]:
        fields[name] = record_type.optional[name]()
    return record_type(**fields)


def _read_mapping(
    record_type: Any,
    mapping: object,
    path: str,
) -> Any:
    if not isinstance(mapping, dict):
        raise DecodeError(path, 'an object', describe(mapping))
    names = record_type.__slots__
    mismatched = set(mapping).symmetric_difference(names)
    if mismatched - (record_type.optional.keys() - mapping.keys()):
        raise DecodeError(
            path, f'fields {names}', f'{sorted(map(str, mismatched))}'
        )
    readers = _readers(record_type, _read_mapping)
    return record_type(
        **{
            name: readers[name](mapping[name], f'{path}.{name}')
            if name in mapping
            else record_type.optional[name]()
            for name in names
        }
    )


@cache
def _readers(
    record_type: type[Record],
    read_record: Callable[..., Any],
) -> dict[str, Reader]:
    hints = get_type_hints(record_type)
    return {
        name: _reader(hints[name], read_record)
        for name in record_type.__slots__
    }


def _reader(hint: Any, read_record: Callable[..., Any]) -> Reader:
    origin = get_origin(hint)
    if origin in {types.UnionType, Union}:
        return _optional_reader(hint, read_record)
    if origin is list:
        return list_reader(_reader(get_args(hint)[0], read_record))
    if origin is dict:
        return dict_reader(_reader(get_args(hint)[1], read_record))
    if hint in _SCALARS:
        return scalar_reader(hint)
    if isinstance(hint, type) and issubclass(hint, Record):
        return lambda value, path: read_record(hint, value, path)
    return lambda value, path: value


def _optional_reader(hint: Any, read_record: Callable[..., Any]) -> Reader:
    inner = next(
        value for value in get_args(hint) if value is not types.NoneType
    )
    reader = _reader(inner, read_record)
    return lambda value, path: None if value is None else reader(value, path)

"""Conversion of records to plain values and back, with checked types."""

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
    """Convert a record to nested lists in field order, the wire's form.

    See Also
    --------
    decode_array : the way back.
    """
    # Most parts of a frame are scalars, so they come first.
    if source.__class__ in _SCALAR_TYPES:
        return source
    if isinstance(source, Record):
        return [
            encode_array(getattr(source, name)) for name in source.__slots__
        ]
    if isinstance(source, list | tuple):
        return [encode_array(part) for part in source]
    if isinstance(source, dict):
        return {key: encode_array(part) for key, part in source.items()}
    return source


def decode_array(record_type: type[_RecordT], row: object) -> _RecordT:
    """Build a record from nested lists in field order.

    Parameters
    ----------
    record_type : type
        Class of the record.
    row : object
        What `encode_array` made, possibly from an untrusted peer.

    Returns
    -------
    Record
        The record, with every field's type checked.

    Raises
    ------
    DecodeError
        If the row does not fit the class.
    """
    record: _RecordT = _read_row(record_type, row, record_type.__name__)
    return record


def encode_mapping(source: Any) -> Any:
    """Convert a record to nested mappings by field name, JSON's form."""
    if isinstance(source, Record):
        return {
            name: encode_mapping(getattr(source, name))
            for name in source.__slots__
        }
    if isinstance(source, list | tuple):
        return [encode_mapping(part) for part in source]
    if isinstance(source, dict):
        return {key: encode_mapping(part) for key, part in source.items()}
    return source


def decode_mapping(record_type: type[_RecordT], mapping: object) -> _RecordT:
    """Build a record from nested mappings by field name.

    Raises
    ------
    DecodeError
        If a field is missing, unknown or of another type.
    """
    record: _RecordT = _read_mapping(record_type, mapping, '$')
    return record


def _read_row(
    record_type: Any,
    row: object,
    path: str,
) -> Any:
    names = record_type.__slots__
    if not isinstance(row, list) or len(row) != len(names):
        raise DecodeError(path, f'a list of {len(names)}', describe(row))
    readers = _readers(record_type, _read_row)
    return record_type(
        **{
            name: readers[name](part, f'{path}.{name}')
            for name, part in zip(names, row, strict=True)
        }
    )


def _read_mapping(
    record_type: Any,
    mapping: object,
    path: str,
) -> Any:
    if not isinstance(mapping, dict):
        raise DecodeError(path, 'an object', describe(mapping))
    names = record_type.__slots__
    odd = set(mapping).symmetric_difference(names)
    if odd:
        raise DecodeError(path, f'fields {names}', f'{sorted(map(str, odd))}')
    readers = _readers(record_type, _read_mapping)
    return record_type(
        **{
            name: readers[name](mapping[name], f'{path}.{name}')
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
        return lambda part, path: read_record(hint, part, path)
    return lambda part, path: part


def _optional_reader(hint: Any, read_record: Callable[..., Any]) -> Reader:
    inner = next(part for part in get_args(hint) if part is not types.NoneType)
    reader = _reader(inner, read_record)
    return lambda part, path: None if part is None else reader(part, path)

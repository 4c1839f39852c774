"""Tests of optional trailing fields of records."""

from types import MappingProxyType
from typing import Any, ClassVar

import pytest
from mustardspur_core.conversion import (
    decode_array,
    decode_mapping,
    encode_array,
)
from mustardspur_core.readers import DecodeError
from mustardspur_core.record import Defaults, Record


class Extended(Record):
    """A record to which two fields were added."""

    __slots__ = ('name', 'homes', 'rate')
    optional: ClassVar[Defaults] = MappingProxyType(
        {'homes': list, 'rate': float},
    )
    name: str
    homes: list[str]
    rate: float


def test_default_fields_are_not_sent() -> None:
    """Guards against a change of the bytes that earlier builds decode."""
    assert encode_array(Extended(name='a', homes=[], rate=0)) == ['a']
    assert encode_array(Extended(name='a', homes=['e'], rate=0)) == ['a', ['e']]
    assert encode_array(Extended(name='a', homes=[], rate=2)) == ['a', [], 2]


@pytest.mark.parametrize('sent', [['a'], ['a', ['e']], ['a', [], 2.0]])
def test_missing_fields_get_their_default(sent: list[Any]) -> None:
    """Guards against the refusal of stored records of earlier builds."""
    assert encode_array(decode_array(Extended, sent)) == sent


@pytest.mark.parametrize('sent', [[], ['a', [], 2.0, 1], ['a', 'e']])
def test_other_lengths_and_types_are_refused(sent: list[Any]) -> None:
    """Guards against optional fields that disable the checks."""
    with pytest.raises(DecodeError):
        decode_array(Extended, sent)


def test_mapping_may_omit_optional_fields_only() -> None:
    """Guards against the refusal of documents without the new fields."""
    decoded = decode_mapping(Extended, {'name': 'a', 'rate': 1.0})
    assert decoded == Extended(name='a', homes=[], rate=1.0)
    with pytest.raises(DecodeError):
        decode_mapping(Extended, {'rate': 1.0})
    with pytest.raises(DecodeError):
        decode_mapping(Extended, {'name': 'a', 'other': 1})

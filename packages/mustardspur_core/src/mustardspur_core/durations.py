"""Durations written with their unit, for example ``1500ms`` or ``2.5s``."""

import math
from typing import Any, Final

from mustardspur_core.readers import describe
from mustardspur_core.texts import parse_number, show

_UNITS_MS: Final = (('ms', 1.0), ('s', 1000.0))
MS_PER_S: Final = 1000.0


def parse_ms(text: Any) -> float:
    """Parse a duration and return it in milliseconds.

    Parameters
    ----------
    text : object
        A number followed by its unit, ``ms`` or ``s``.

    Raises
    ------
    ValueError
        If it is not a finite number with a unit.

    Examples
    ========
    >>> parse_ms('2.5s')
    2500.0
    """
    if not isinstance(text, str):
        raise ValueError(f'not a duration with a unit: {describe(text)}')
    for suffix, factor in _UNITS_MS:
        if text.endswith(suffix):
            return _number(text, text.removesuffix(suffix)) * factor
    raise ValueError(f'a duration needs the unit ms or s: {show(text)}')


def parse_s(text: Any) -> float:
    """Parse a duration and return it in seconds; see `parse_ms`."""
    return parse_ms(text) / MS_PER_S


def _number(text: str, digits: str) -> float:
    number = parse_number(digits)
    if math.isfinite(number):
        return number
    raise ValueError(f'not a finite duration: {show(text)}')

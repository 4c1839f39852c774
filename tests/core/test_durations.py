"""Tests of durations with a unit."""

import pytest
from mustardspur_core.durations import parse_ms, parse_s


@pytest.mark.parametrize(
    ('text', 'expected_ms'),
    [('1500ms', 1500.0), ('2.5s', 2500.0), ('0ms', 0), ('0.25s', 250.0)],
)
def test_unit_is_read(text: str, expected_ms: float) -> None:
    """Guards against seconds being read as milliseconds."""
    assert parse_ms(text) == pytest.approx(expected_ms)
    assert parse_s(text) == pytest.approx(expected_ms / 1000)


@pytest.mark.parametrize(
    'text', ['', '12', 'ms', 'xs', 'nans', 'infs', 5, None]
)
def test_other_texts_are_refused(text: object) -> None:
    """Guards against a default unit for a duration without a unit."""
    with pytest.raises(ValueError, match='duration|float|unit'):
        parse_ms(text)


@pytest.mark.parametrize(
    'text',
    [
        'x' * 100_000,
        '{}ms'.format('x' * 100_000),
        '{}s'.format('9' * 100_000),
        ['x' * 100_000],
    ],
)
def test_long_text_is_shown_in_part(text: object) -> None:
    """Guards against an error with all that was sent as a duration."""
    with pytest.raises(ValueError, match='duration|float|unit') as refused:
        parse_ms(text)
    assert len(str(refused.value)) < 200

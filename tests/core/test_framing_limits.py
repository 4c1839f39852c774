"""Tests of the limits on bytes that bring neither request nor body."""

import pytest
from mustardspur_core.framing_limits import (
    FramingLimits,
    FramingTooLarge,
    HeadTooLarge,
)

_LIMIT = 100


def test_head_in_parts_is_limited_as_a_whole() -> None:
    """Guards against many lines that are each within the limit."""
    limits = FramingLimits()
    limits.add_head(60, _LIMIT)
    limits.add_head(40, _LIMIT)
    with pytest.raises(HeadTooLarge):
        limits.add_head(1, _LIMIT)


def test_payload_allows_further_framing() -> None:
    """Guards against the refusal of a long body of small chunks."""
    limits = FramingLimits()
    for payload_bytes in range(1, 50):
        limits.add_body(60, payload_bytes, _LIMIT)
    limits.add_body(100, 49, _LIMIT)
    with pytest.raises(FramingTooLarge):
        limits.add_body(1, 49, _LIMIT)


def test_next_request_starts_again() -> None:
    """Guards against limits that count all requests of a connection."""
    limits = FramingLimits()
    for _ in range(10):
        limits.add_head(60, _LIMIT)
        limits.complete_head()
        limits.add_body(60, 0, _LIMIT)

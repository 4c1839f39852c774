"""Tests of reports that no target of this mesh can have sent."""

from typing import Any

import pytest
from mustardspur_node.mesh.reports import find_report_fault

from tests.node.mesh.builders import target_report


@pytest.mark.parametrize(
    ('name', 'found'),
    [
        ('address', '127.0.0.1:65536'),
        ('address', '127.0.0.1:0'),
        ('address', '127.0.0.1:\N{SUPERSCRIPT TWO}'),
        ('address', '127.0.0.1:{}'.format('9'.rjust(5000, '9'))),
        ('address', ':8080'),
        ('slots', 0),
        ('slots', 2**62),
        ('sequence', 2**62),
        ('born', 2**62),
        ('cold_ms', float('inf')),
        ('cold_ms', float('nan')),
        ('cold_ms', -1),
        ('id', 't1\r\nx-added: 1'),
        ('id', 't1\nGET / HTTP/1.1'),
        ('id', 't\N{LATIN SMALL LETTER E WITH ACUTE}'),
        ('id', 't' * 257),
        ('service', 'forms\r\n\r\nPOST /x HTTP/1.1'),
        ('version', 'v1\x00'),
    ],
)
def test_value_out_of_range_is_named(name: str, found: Any) -> None:
    """A port out of range ended calls and checks with an OverflowError, a
    start time in the far future hid all later reports, and a line break in a
    name put further requests into the head of a call.
    """
    fault = find_report_fault(target_report(**{name: found}))
    assert fault.startswith(name)
    assert len(fault) < 200


def test_usual_report_has_no_fault() -> None:
    """Reports of the targets of this mesh are accepted."""
    assert not find_report_fault(target_report())

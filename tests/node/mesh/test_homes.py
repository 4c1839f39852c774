"""Tests of the regions in which a call may be served."""

import pytest
from mustardspur_node.mesh.homes import Homes

from tests.core.mesh.builders import target

_TARGETS = (target('1', region='istra'), target('2', region='dalmacija'))


@pytest.mark.parametrize(
    ('region_lists', 'expected'),
    [
        ([], ['1', '2']),
        ([[], []], ['1', '2']),
        ([['istra'], []], ['1']),
        ([['istra', 'dalmacija'], ['dalmacija']], ['2']),
        ([['istra'], ['dalmacija']], []),
        ([['slavonija']], []),
    ],
)
def test_all_stated_lists_bind(
    region_lists: list[list[str]],
    expected: list[str],
) -> None:
    """Guards against bodies in a region that the route or the account of a
    call does not allow, and against empty lists that allow nothing.
    """
    selected = Homes(*region_lists).select(list(_TARGETS))
    assert [each.id for each in selected] == expected

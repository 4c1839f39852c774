"""Tests of the regions in which a call may be served."""

import pytest
from mustardspur_node.mesh.homes import Homes, RestrictedRegions
from mustardspur_node.mesh.view import MeshView, RouteIndex

from tests.core.mesh.builders import route, table, target

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


@pytest.mark.parametrize(
    ('home_regions', 'others', 'expected'),
    [
        ([], {'istra'}, False),
        (['dalmacija'], {'istra'}, True),
        (['istra'], {'istra'}, False),
        (['dalmacija', 'istra'], {'istra'}, False),
        (['dalmacija', 'istra'], {'istra', 'slavonija'}, True),
        (['dalmacija'], set(), False),
    ],
)
def test_bound_calls_of_a_region(
    home_regions: list[str], others: set[str], *, expected: bool
) -> None:
    """Guards against calls that leave a region for others that may leave too,
    and against regions of an earlier table.
    """
    view = MeshView()
    regions = RestrictedRegions(view)
    assert not regions.has_bound_calls('forms', 'dalmacija', others)
    routes = (route('notes'), route('drafts', home_regions=home_regions))
    view.routes = RouteIndex(table(1, *routes))
    bound = regions.has_bound_calls('forms', 'dalmacija', others)
    assert bound is expected
    assert not regions.has_bound_calls('stamps', 'dalmacija', others)

"""Tests of the choice of a target for a call with a large body."""

import random
from typing import Final

import pytest
from mustardspur_core.mesh.call_messages import TargetLoad
from mustardspur_core.settings import MeshSettings
from mustardspur_node.mesh.chooser import TargetChooser

from tests.core.mesh.builders import target
from tests.node.mesh.builders import node_settings
from tests.support.virtual_time import in_virtual_time

_OWN: Final = target('2')
_NEAR: Final = target('11')
_FAR: Final = target('12', data_centre='osijek-a', region='slavonija')


def _load(link_wait_ms: float) -> TargetLoad:
    return TargetLoad(
        running=0,
        waiting=0,
        slots=9,
        run_ms=250.0,
        failure_rate=0,
        open=True,
        link_wait_ms=link_wait_ms,
    )


@pytest.mark.parametrize(
    ('name', 'own_ms', 'near_ms', 'far_ms', 'chosen'),
    [
        ('no transfer to the own instance', 900, 0, 0, _OWN),
        ('nearest with capacity', None, 500, 0, _NEAR),
        ('paid link if the near one is full', None, 900, 0, _FAR),
        ('all links are full', None, 900, 900, None),
    ],
)
@in_virtual_time
async def test_body_goes_to_a_link_with_capacity(
    name: str,
    own_ms: float | None,
    near_ms: float,
    far_ms: float,
    chosen: object,
) -> None:
    """Guards against bodies that are sent to links without capacity, or over
    a paid link while a nearer one has capacity.
    """
    settings = node_settings()
    assert isinstance(settings.mesh, MeshSettings)
    settings.mesh.link_mbps = 4.2
    chooser = TargetChooser(settings, random.Random(3))
    targets = [_NEAR, _FAR]
    chooser.record_load(_NEAR.node, _load(near_ms))
    chooser.record_load(_FAR.node, _load(far_ms))
    if own_ms is not None:
        targets.append(_OWN)
        chooser.record_load(_OWN.node, _load(own_ms))
    assert chooser.choose(targets, 1000.0, 400.0, 60_000) is chosen, name
    assert chooser.choose(targets, 1000.0, 400.0) is not _FAR, name

"""Tests of the order in which a node connects to control instances."""

from mustardspur_core.record import replaced
from mustardspur_core.settings import MeshSettings, Peer
from mustardspur_node.mesh.control_ranking import ControlRanking

from tests.core.mesh.builders import mesh_settings
from tests.node.mesh.builders import node_settings
from tests.support.virtual_time import in_virtual_time

_SEEDS = ('10.1.0.1:80', '10.2.0.1:80', '10.3.0.1:80')


def _mesh() -> MeshSettings:
    return replaced(mesh_settings(), seeds=list(_SEEDS))


def _peer(stream: str, data_centre: str, region: str) -> Peer:
    return Peer(
        id=stream,
        stream=stream,
        http=stream,
        data_centre=data_centre,
        region=region,
        voter=True,
    )


@in_virtual_time
async def test_nodes_spread_over_the_seeds() -> None:
    """Guards against one control instance that all nodes of a mesh reach
    first when they start at the same moment.
    """
    first = {
        ControlRanking(
            replaced(node_settings(), id=f'10.1.0.{number}'), _mesh()
        ).ranked()[0]
        for number in range(30)
    }
    assert len(first) == len(_SEEDS)


@in_virtual_time
async def test_nearest_instance_is_preferred_until_it_fails() -> None:
    """Guards against tables that cross regions while an instance is near."""
    ranking = ControlRanking(node_settings(), _mesh())
    far = _peer('10.4.0.1:2', 'osijek-a', 'slavonija')
    near = _peer('10.5.0.1:2', 'zadar-a', 'dalmacija')
    own = _peer('10.6.0.1:2', 'split-a', 'dalmacija')
    ranking.update([far, near, own])
    assert ranking.ranked()[:2] == [own.stream, near.stream]
    assert ranking.nearer(far.stream) == own.stream
    assert ranking.nearer(own.stream) is None
    ranking.record_failure(own.stream)
    assert ranking.ranked()[0] == near.stream
    assert ranking.nearer(near.stream) is None

"""Tests of the announcements of a node to control instances."""

import asyncio
from typing import Any, Final

import pytest
from mustardspur_control.mesh.registry import LOCAL_SOURCE, MeshRegistry
from mustardspur_core.mesh.control_messages import MeshAnnounce, MeshTargets
from mustardspur_core.mesh.model import MeshTarget
from mustardspur_core.metrics import NullMetrics
from mustardspur_core.wire import FrameStream
from mustardspur_node.mesh import control_link
from mustardspur_node.mesh.instance import MeshNode
from mustardspur_node.mesh.names import HEADER_NAMES

from tests.core.mesh.builders import target
from tests.node.mesh.builders import node_settings
from tests.support.in_process_network import InProcessNetwork
from tests.support.virtual_time import in_virtual_time

_NODE: Final = '127.0.0.1:2'
_WATCHED_S: Final = 1.0


class _Control:
    """A control instance that still has the registration of a former process.

    Parameters
    ----------
    former : MeshTarget
        That registration, from another control instance.
    """

    def __init__(self, former: MeshTarget) -> None:
        """Initialise without an attached node."""
        self.registry = MeshRegistry()
        self.registry.put('c2', former)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send the registrations, and put those of the node."""
        stream = FrameStream(reader, writer)
        known = list(self.registry.by_node.values())
        stream.enqueue(MeshTargets(full=True, upserts=known, removed=[]))
        while True:
            body = (await stream.receive()).body
            if isinstance(body, MeshAnnounce):
                self.registry.put(LOCAL_SOURCE, body.target)


async def _registered(
    monkeypatch: pytest.MonkeyPatch, *, draining: bool, **former: Any
) -> MeshTarget:
    """Return the registration of a node that attaches beside a former one."""
    settings = node_settings()
    assert settings.mesh is not None
    settings.mesh.seeds = ['127.0.0.1:9']
    node = MeshNode(settings, settings.mesh, HEADER_NAMES, NullMetrics())
    node.link.announcement.draining = draining
    control = _Control(target('t1', node=_NODE, **former))
    network = InProcessNetwork()
    network.servers[_NODE] = control.serve
    monkeypatch.setattr(control_link, 'connect_stream', network.connect)
    running = asyncio.create_task(node.link.run())
    await asyncio.sleep(_WATCHED_S)
    running.cancel()
    return control.registry.by_node[_NODE]


@in_virtual_time
async def test_node_outranks_its_former_process(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a node that gets no calls after its clock stepped back,
    as the others take it for its former process, which drains.
    """
    former = {'incarnation': 2**61, 'state': 'draining'}
    registered = await _registered(monkeypatch, draining=False, **former)
    assert registered.state != 'draining'


@pytest.mark.parametrize(
    ('draining', 'incarnation'), [(True, 2**61), (False, 2**63 - 1)]
)
@in_virtual_time
async def test_rank_is_kept(
    monkeypatch: pytest.MonkeyPatch, draining: bool, incarnation: int
) -> None:
    """Guards against a node that drains and outranks its successor, and
    against a damaged incarnation that leaves no higher one.
    """
    registered = await _registered(
        monkeypatch, draining=draining, incarnation=incarnation
    )
    assert registered.incarnation == incarnation

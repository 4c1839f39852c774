"""Guards the streams between a control instance and its nodes."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from mustardspur_control.control_stream import ControlStreams
from mustardspur_control.expiry import expiring
from mustardspur_control.hub import Hub
from mustardspur_control.registry import Registry
from mustardspur_core.settings import Settings
from mustardspur_node.announcements import Announcements
from mustardspur_node.control_link import ControlLink
from mustardspur_node.held import HeldConfig

from tests.support.pipes import Pipes
from tests.support.samples import (
    QUIET,
    CountingMetrics,
    FakeBarrier,
    FakeSource,
    announcement,
    config,
    control_settings,
    node_settings,
)
from tests.support.virtual_time import in_virtual_time, virtual_now_s


class Control:
    """A control instance without its log and its relays."""

    def __init__(self, source: FakeSource, barrier: FakeBarrier) -> None:
        """Assemble the parts that serve nodes."""
        self.settings = control_settings()
        self.metrics = CountingMetrics()
        self.registry = Registry(self.settings, virtual_now_s)
        self.hub = Hub(
            self.settings,
            source,
            self.registry,
            barrier,
            QUIET,
            self.metrics,
        )
        self.streams = ControlStreams(self.hub)


class Node:
    """A node without its proxy."""

    def __init__(self, settings: Settings, pipes: Pipes) -> None:
        """Assemble the parts that hold configuration."""
        self.metrics = CountingMetrics()
        self.held = HeldConfig(settings, QUIET, self.metrics)
        self.announcements = Announcements(settings, virtual_now_s)
        self.link = ControlLink(
            settings,
            self.held,
            self.announcements,
            QUIET,
            self.metrics,
            pipes.connect,
        )


@asynccontextmanager
async def connected(
    source: FakeSource,
) -> AsyncIterator[tuple[Control, Node]]:
    """Run a control instance and one node."""
    pipes = Pipes()
    control = Control(source, FakeBarrier())
    pipes.servers['c1'] = control.streams.serve
    node = Node(node_settings(), pipes)
    async with expiring(control.settings, control.registry):
        async with node.link.running():
            yield control, node


@in_virtual_time
async def test_change_reaches_node_and_is_reported() -> None:
    """Guards against a change that does not reach a node, or no answer."""
    source = FakeSource(config(1))
    async with connected(source) as (control, node):
        node.announcements.take(announcement())
        await asyncio.sleep(0.5)
        view = node.held.view('forms')
        assert view is not None
        assert view.config == config(1)
        assert [each.id for each in view.targets_by_version['1']] == ['t1']
        source.put(config(5))
        await asyncio.sleep(0.5)
        rows = control.hub.applied.rows('forms')
        assert [row.report.index for row in rows] == [5]

"""A minimal control instance and node for tests inside one process."""

from mustardspur_control.hub import Hub
from mustardspur_control.node_stream import node_streams
from mustardspur_control.registry import Registry
from mustardspur_core.settings import Settings
from mustardspur_node.announcements import Announcements
from mustardspur_node.config_store import ConfigStore
from mustardspur_node.control_link import ControlLink

from tests.support.in_process_network import InProcessNetwork
from tests.support.samples import (
    NULL_TIMELINE,
    CountingMetrics,
    FakeBarrier,
    FakeConfigSource,
)
from tests.support.virtual_time import virtual_now_s


class Control:
    """A control instance without the replicated log and the relays."""

    def __init__(
        self,
        settings: Settings,
        source: FakeConfigSource,
        barrier: FakeBarrier,
    ) -> None:
        """Initialise the objects that serve nodes."""
        self.settings = settings
        self.metrics = CountingMetrics()
        self.registry = Registry(self.settings, virtual_now_s)
        self.hub = Hub(
            self.settings,
            source,
            self.registry,
            barrier,
            NULL_TIMELINE,
            self.metrics,
        )
        self.streams = node_streams(self.hub)


class Node:
    """A node without its proxy."""

    def __init__(self, settings: Settings, network: InProcessNetwork) -> None:
        """Initialise the objects that receive and store configuration."""
        self.metrics = CountingMetrics()
        self.config_store = ConfigStore(settings, NULL_TIMELINE, self.metrics)
        self.announcements = Announcements(settings, virtual_now_s)
        self.link = ControlLink(
            settings,
            self.config_store,
            self.announcements,
            NULL_TIMELINE,
            self.metrics,
            network.connect,
        )

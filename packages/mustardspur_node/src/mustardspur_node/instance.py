"""Assembly of a node."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial

from mustardspur_core.garbage_collection import tune_garbage_collector
from mustardspur_core.metrics import Metrics
from mustardspur_core.settings import Settings
from mustardspur_core.timeline import Timeline

from mustardspur_node.announcements import Announcements, post_target
from mustardspur_node.calls import CallForwarder, run_forwarder
from mustardspur_node.config_store import ConfigStore
from mustardspur_node.control_link import ControlLink
from mustardspur_node.move_guard import running_guard
from mustardspur_node.paths import ANNOUNCEMENTS_PATH
from mustardspur_node.status import STATUS_PATH, NodeStatus


@asynccontextmanager
async def running_node(
    settings: Settings,
    timeline: Timeline,
    metrics: Metrics,
) -> AsyncIterator[ControlLink]:
    """Run a node for the length of a block, then drain it.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    timeline : Timeline
        Records the events.
    metrics : Metrics
        Receives the metrics.

    Raises
    ------
    OSError
        If listening on an address fails or the data folder is not usable.
    """
    store = ConfigStore(settings, timeline, metrics)
    announcements = Announcements(settings)
    link = ControlLink(settings, store, announcements, timeline, metrics)
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(link.running())
        guard = await stack.enter_async_context(running_guard(settings, link))
        forwarder = CallForwarder(settings, store, guard, metrics, timeline)
        status = NodeStatus(store, link, announcements, forwarder)
        await stack.enter_async_context(
            run_forwarder(
                forwarder,
                settings.listen.http,
                settings.intervals.drain_s,
                {
                    ANNOUNCEMENTS_PATH: partial(post_target, announcements),
                    STATUS_PATH: status.handle,
                },
            ),
        )
        tune_garbage_collector()
        yield link

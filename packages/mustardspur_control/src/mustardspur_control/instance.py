"""Assembly of a control instance."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial

from mustardspur_agreement import PeerGreeting, running_log
from mustardspur_core.metrics import Metrics
from mustardspur_core.settings import Settings
from mustardspur_core.timeline import Timeline

from mustardspur_control.control_stream import serving_streams
from mustardspur_control.driving import running_driver
from mustardspur_control.expiry import expiring
from mustardspur_control.hub import Hub
from mustardspur_control.node_stream import node_streams
from mustardspur_control.operator_sources import operators_context
from mustardspur_control.registry import Registry
from mustardspur_control.relay import Relay, RelayHello
from mustardspur_control.serving import serving_operators
from mustardspur_control.store import Store
from mustardspur_control.timelines import ChangeRecorder, RecordedLog


@asynccontextmanager
async def running_control(
    settings: Settings,
    timeline: Timeline,
    metrics: Metrics,
) -> AsyncIterator[Hub]:
    """Run a control instance for the length of a block.

    Parameters
    ----------
    settings : Settings
        Settings of the instance.
    timeline : Timeline
        Records the events.
    metrics : Metrics
        Receives the metrics.

    Raises
    ------
    OSError
        If listening on an address fails or the data folder is not usable.
    """
    store = Store()
    async with AsyncExitStack() as stack:
        replicated = await stack.enter_async_context(
            running_log(settings, store, timeline, metrics),
        )
        log = RecordedLog(replicated, timeline)
        ChangeRecorder(store, timeline)
        registry = Registry(settings)
        hub = Hub(settings, store, registry, log, timeline, metrics)
        relay = Relay(settings, hub, partial(getattr, log, 'leader'))
        streams = node_streams(hub)
        streams.add(PeerGreeting, replicated.serve)
        streams.add(RelayHello, relay.serve)
        await stack.enter_async_context(expiring(settings, registry))
        await stack.enter_async_context(relay.running())
        moves = await stack.enter_async_context(
            running_driver(log, store, hub),
        )
        await stack.enter_async_context(serving_streams(settings, streams))
        await stack.enter_async_context(
            serving_operators(
                settings,
                operators_context(settings, hub, store, log, moves, replicated),
            ),
        )
        yield hub

"""Stream of one node at a control instance, from `Hello` to its end."""

import asyncio
from functools import partial
from typing import Final

from mustardspur_core.messages import (
    Announce,
    Applied,
    CutOff,
    Heartbeat,
    Hello,
    Outcomes,
    Subscribe,
    Welcome,
)
from mustardspur_core.tasks import run_until_first_end
from mustardspur_core.wire import (
    FrameStream,
    MessageDispatcher,
    raise_on_silence,
)

from mustardspur_control.control_stream import ControlStreams
from mustardspur_control.hub import Hub
from mustardspur_control.sessions import NodeSession

# Changes within this time after an update are sent together. This limits the
# frames to a node in a burst and does not delay a single change.
MIN_UPDATE_INTERVAL_S: Final = 0.05
# A stream is closed if the node does not read the sent frames in this time.
# A busy node needs longer than a heartbeat for full copies of many services.
DRAIN_TIMEOUT_S: Final = 30.0
_FROM_NODES: Final = MessageDispatcher('a node')


def node_streams(hub: Hub) -> ControlStreams:
    """Return the stream server with a handler for nodes."""
    streams = ControlStreams(hub.settings, hub.timeline, hub.metrics)
    streams.add(Hello, partial(serve_node, hub))
    return streams


async def serve_node(hub: Hub, stream: FrameStream, hello: Hello) -> None:
    """Serve a node until its stream ends.

    Raises
    ------
    MalformedFrame
        If a frame is malformed or of a type that nodes do not send.
    TimeoutError
        If nothing arrives for ``silence_s``, or sent frames are not read.
    """
    busy = hub.admission.refusal()
    if busy is not None:
        hub.metrics.incr('busy')
        await stream.send(busy)
        return
    session = NodeSession(hello, stream)
    session.handshake.enter_context(hub.admission.handshake())
    with session.handshake, hub.connected(session):
        await run_until_first_end(
            _send(hub, session),
            _receive(hub, session),
            raise_on_silence(stream, hub.settings.intervals.silence_s),
        )


async def _send(hub: Hub, session: NodeSession) -> None:
    await _send_welcome(hub, session)
    session.handshake.close()
    sequence = 0
    while True:
        if await _wait_for_change(hub, session):
            await _send_updates(hub, session)
            await asyncio.sleep(MIN_UPDATE_INTERVAL_S)
            continue
        sequence += 1
        session.stream.enqueue(Heartbeat(sequence=sequence))
        if session.needs_confirmation and not session.confirmed:
            await _send_welcome(hub, session)


async def _send_welcome(hub: Hub, session: NodeSession) -> None:
    # The barrier comes before the updates, so that all that is sent before
    # `Welcome` is at least as new as the confirmed state.
    if session.needs_confirmation:
        session.confirmed = await hub.barrier.confirm()
    await _send_updates(hub, session)
    welcome = Welcome(control=hub.settings.id, confirmed=session.confirmed)
    session.stream.enqueue(welcome)


async def _wait_for_change(hub: Hub, session: NodeSession) -> bool:
    """Return whether a change came within the interval of heartbeats."""
    try:
        async with asyncio.timeout(hub.settings.intervals.heartbeat_s):
            await session.wake.wait()
    except TimeoutError:
        return False
    return True


async def _send_updates(hub: Hub, session: NodeSession) -> None:
    async with asyncio.timeout(DRAIN_TIMEOUT_S):
        await session.stream.drain()
    for encoded in hub.frames_for(session):
        session.stream.enqueue_encoded(encoded)


async def _receive(hub: Hub, session: NodeSession) -> None:
    while True:
        frame = await session.stream.receive()
        handle = _FROM_NODES.handler_of(frame.body)
        hub.registry.renew(session.node)
        handle(hub, session, frame.body)


@_FROM_NODES.handles(Heartbeat)
def _handle_heartbeat(
    hub: Hub, session: NodeSession, heartbeat: Heartbeat
) -> None:
    """Do nothing: `_receive` renews the lease after each frame."""


@_FROM_NODES.handles(Announce)
def _handle_announce(hub: Hub, session: NodeSession, report: Announce) -> None:
    for fault in hub.registry.announce(session.node, report.targets):
        hub.metrics.incr('refused_targets')
        hub.timeline.record('target_refused', node=session.node, fault=fault)


@_FROM_NODES.handles(Subscribe)
def _handle_subscribe(
    hub: Hub, session: NodeSession, request: Subscribe
) -> None:
    hub.sessions.subscribe(session, request.services)
    session.cut_offs.update(hub.cut_offs_for(session))


@_FROM_NODES.handles(Applied)
def _handle_applied(hub: Hub, session: NodeSession, report: Applied) -> None:
    hub.report_applied(session.node, report)


@_FROM_NODES.handles(Outcomes)
def _handle_outcomes(hub: Hub, session: NodeSession, report: Outcomes) -> None:
    hub.report_outcomes(session.node, report)


@_FROM_NODES.handles(CutOff)
def _handle_cut_off(hub: Hub, session: NodeSession, cut_off: CutOff) -> None:
    hub.cut_offs.add(cut_off)

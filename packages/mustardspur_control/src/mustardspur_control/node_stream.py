"""One node's stream at a control instance, from `Hello` to its end."""

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
    MessageDispatcher,
    FrameStream,
    raise_on_silence,
)

from mustardspur_control.control_stream import ControlStreams
from mustardspur_control.hub import Hub
from mustardspur_control.sessions import NodeSession

# Changes within this time of the last update travel together, which bounds
# the frames to a node in a burst and adds nothing to a single change.
MIN_UPDATE_GAP_S: Final = 0.05
# Time for a node to read what it was sent before its stream is closed. Full
# copies of many services take a busy node longer than a heartbeat.
DRAIN_TIMEOUT_S: Final = 30.0
_FROM_NODES: Final = MessageDispatcher('a node')


def node_streams(hub: Hub) -> ControlStreams:
    """Return the streams of a control instance, with nodes to serve."""
    streams = ControlStreams(hub.settings, hub.timeline, hub.metrics)
    streams.add(Hello, partial(serve_node, hub))
    return streams


async def serve_node(hub: Hub, stream: FrameStream, hello: Hello) -> None:
    """Serve a node until its stream ends.

    Raises
    ------
    MalformedFrame
        If the node sends a frame that no node sends.
    TimeoutError
        If nothing arrives for the time of silence.
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
    await _welcome(hub, session)
    session.handshake.close()
    sequence = 0
    while True:
        if await _changed(hub, session):
            await _flush(hub, session)
            await asyncio.sleep(MIN_UPDATE_GAP_S)
            continue
        sequence += 1
        session.stream.enqueue(Heartbeat(sequence=sequence))
        if session.needs_confirmation and not session.confirmed:
            await _welcome(hub, session)


async def _welcome(hub: Hub, session: NodeSession) -> None:
    # The state is confirmed first and sent next, so that everything before
    # the frame that says so is as new as the barrier.
    if session.needs_confirmation:
        session.confirmed = await hub.barrier.confirm()
    await _flush(hub, session)
    welcome = Welcome(control=hub.settings.id, confirmed=session.confirmed)
    session.stream.enqueue(welcome)


async def _changed(hub: Hub, session: NodeSession) -> bool:
    try:
        async with asyncio.timeout(hub.settings.intervals.heartbeat_s):
            await session.wake.wait()
    except TimeoutError:
        return False
    return True


async def _flush(hub: Hub, session: NodeSession) -> None:
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
def _take_heartbeat(hub: Hub, session: NodeSession, beat: Heartbeat) -> None:
    """Any frame renews the leases, so there is nothing left to do."""


@_FROM_NODES.handles(Announce)
def _take_announce(hub: Hub, session: NodeSession, report: Announce) -> None:
    for fault in hub.registry.announce(session.node, report.targets):
        hub.metrics.incr('refused_targets')
        hub.timeline.record('target_refused', node=session.node, fault=fault)


@_FROM_NODES.handles(Subscribe)
def _take_subscribe(hub: Hub, session: NodeSession, request: Subscribe) -> None:
    hub.sessions.subscribe(session, request.services)
    session.cut_offs.update(hub.cut_offs_for(session))


@_FROM_NODES.handles(Applied)
def _take_applied(hub: Hub, session: NodeSession, report: Applied) -> None:
    hub.report_applied(session.node, report)


@_FROM_NODES.handles(Outcomes)
def _take_outcomes(hub: Hub, session: NodeSession, report: Outcomes) -> None:
    hub.report_outcomes(session.node, report)


@_FROM_NODES.handles(CutOff)
def _take_cut_off(hub: Hub, session: NodeSession, cut_off: CutOff) -> None:
    hub.cut_offs.add(cut_off)

"""Server side of the streams between control instances."""

import asyncio
from collections.abc import Callable
from typing import Final

from mustardspur_core.messages import CutOff, Heartbeat, Outcomes
from mustardspur_core.tasks import run_until_first_end
from mustardspur_core.wire import (
    FrameStream,
    MessageDispatcher,
    raise_on_silence,
)

from mustardspur_control.hub import Hub
from mustardspur_control.relay.applied_rows import apply_reports
from mustardspur_control.relay.messages import (
    AppliedSummary,
    RegistrySummary,
    RegistryUpdate,
    RelayHello,
)
from mustardspur_control.relay.summaries import RegionSummaries

_FROM_PEERS: Final = MessageDispatcher('a control instance')
SummaryCallback = Callable[[RegistrySummary], None]


class PeerStream:
    """Applies the messages of a peer.

    Parameters
    ----------
    hub : Hub
        Receives targets, reports, evidence and cut-offs.
    summaries : RegionSummaries
        Receives the summaries of other regions.
    forward : callable
        Called with each summary that came from another region.
    hello : RelayHello
        First frame of the peer.
    """

    __slots__ = ('forward', 'hello', 'hub', 'summaries')

    def __init__(
        self,
        hub: Hub,
        summaries: RegionSummaries,
        forward: SummaryCallback,
        hello: RelayHello,
    ) -> None:
        """Initialise with the receivers and the first frame."""
        self.hub = hub
        self.summaries = summaries
        self.forward = forward
        self.hello = hello

    @property
    def is_in_own_region(self) -> bool:
        """Whether the peer is in the region of this instance."""
        return self.hello.region == self.hub.settings.region

    async def serve(self, stream: FrameStream) -> None:
        """Serve the stream until its end."""
        await run_until_first_end(
            self._send_heartbeats(stream),
            self._receive(stream),
            raise_on_silence(stream, self.hub.settings.intervals.silence_s),
        )

    async def _send_heartbeats(self, stream: FrameStream) -> None:
        while True:
            await stream.send(Heartbeat(sequence=0))
            await asyncio.sleep(self.hub.settings.intervals.heartbeat_s)

    async def _receive(self, stream: FrameStream) -> None:
        while True:
            frame = await stream.receive()
            if self.is_in_own_region:
                self.hub.registry.mark_peer_connected(self.hello.control)
            _FROM_PEERS.handler_of(frame.body)(self, frame.body)


@_FROM_PEERS.handles(Heartbeat)
def _handle_heartbeat(peer: PeerStream, heartbeat: Heartbeat) -> None:
    """Do nothing: any frame restarts the silence timeout."""


@_FROM_PEERS.handles(RegistryUpdate)
def _handle_targets(peer: PeerStream, message: RegistryUpdate) -> None:
    update = message.update
    if not message.settled:
        update.full = False
        update.removals = []
    peer.hub.registry.merge(peer.hello.control, update)


@_FROM_PEERS.handles(RegistrySummary)
def _handle_summary(peer: PeerStream, summary: RegistrySummary) -> None:
    peer.summaries.apply(summary)
    if not peer.is_in_own_region:
        peer.forward(summary)


@_FROM_PEERS.handles(AppliedSummary)
def _handle_applied(peer: PeerStream, summary: AppliedSummary) -> None:
    apply_reports(peer.hub.applied, summary)


@_FROM_PEERS.handles(Outcomes)
def _handle_outcomes(peer: PeerStream, outcomes: Outcomes) -> None:
    peer.hub.report_outcomes(peer.hello.control, outcomes)


@_FROM_PEERS.handles(CutOff)
def _handle_cut_off(peer: PeerStream, cut_off: CutOff) -> None:
    peer.hub.cut_offs.add(cut_off)

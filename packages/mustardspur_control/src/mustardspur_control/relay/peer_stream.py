"""The stream that another control instance opens to this one."""

import asyncio
from collections.abc import Callable
from typing import Final

from mustardspur_core.messages import CutOff, Heartbeat, Outcomes
from mustardspur_core.tasks import run_until_first_end
from mustardspur_core.wire import (
    MessageDispatcher,
    FrameStream,
    raise_on_silence,
)

from mustardspur_control.hub import Hub
from mustardspur_control.relay.applied_rows import take_reports
from mustardspur_control.relay.messages import (
    AppliedSummary,
    RegistryShare,
    RegistrySummary,
    RelayHello,
)
from mustardspur_control.relay.summaries import RegionSummaries

_FROM_PEERS: Final = MessageDispatcher('a control instance')
SummaryCallback = Callable[[RegistrySummary], None]


class PeerStream:
    """Takes what a peer passes on.

    Parameters
    ----------
    hub : Hub
        Takes targets, reports, evidence and cut-offs.
    summaries : RegionSummaries
        Takes summaries of other regions.
    pass_on : callable
        Takes the summaries that came over a paid link.
    hello : RelayHello
        First frame of the peer.
    """

    __slots__ = ('hello', 'hub', 'pass_on', 'summaries')

    def __init__(
        self,
        hub: Hub,
        summaries: RegionSummaries,
        pass_on: SummaryCallback,
        hello: RelayHello,
    ) -> None:
        """Keep where things go."""
        self.hub = hub
        self.summaries = summaries
        self.pass_on = pass_on
        self.hello = hello

    @property
    def is_near(self) -> bool:
        """Whether the peer is in the own region."""
        return self.hello.region == self.hub.settings.region

    async def serve(self, stream: FrameStream) -> None:
        """Serve the stream until its end."""
        await run_until_first_end(
            self._beat(stream),
            self._receive(stream),
            raise_on_silence(stream, self.hub.settings.intervals.silence_s),
        )

    async def _beat(self, stream: FrameStream) -> None:
        while True:
            await stream.send(Heartbeat(sequence=0))
            await asyncio.sleep(self.hub.settings.intervals.heartbeat_s)

    async def _receive(self, stream: FrameStream) -> None:
        while True:
            frame = await stream.receive()
            if self.is_near:
                self.hub.registry.keep_peer(self.hello.control)
            _FROM_PEERS.handler_of(frame.body)(self, frame.body)


@_FROM_PEERS.handles(Heartbeat)
def _take_heartbeat(peer: PeerStream, beat: Heartbeat) -> None:
    """The arrival itself shows that the peer is there."""


@_FROM_PEERS.handles(RegistryShare)
def _take_targets(peer: PeerStream, share: RegistryShare) -> None:
    update = share.update
    if not share.settled:
        update.full = False
        update.removals = []
    peer.hub.registry.merge(peer.hello.control, update)


@_FROM_PEERS.handles(RegistrySummary)
def _take_summary(peer: PeerStream, summary: RegistrySummary) -> None:
    peer.summaries.take(summary)
    if not peer.is_near:
        peer.pass_on(summary)


@_FROM_PEERS.handles(AppliedSummary)
def _take_applied(peer: PeerStream, summary: AppliedSummary) -> None:
    take_reports(peer.hub.applied, summary)


@_FROM_PEERS.handles(Outcomes)
def _take_outcomes(peer: PeerStream, outcomes: Outcomes) -> None:
    peer.hub.report_outcomes(peer.hello.control, outcomes)


@_FROM_PEERS.handles(CutOff)
def _take_cut_off(peer: PeerStream, cut_off: CutOff) -> None:
    peer.hub.cut_offs.add(cut_off)

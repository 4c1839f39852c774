"""The stream that a control instance opens to another one."""

import asyncio
import logging
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import Final

from mustardspur_core.messages import Heartbeat
from mustardspur_core.record import Record
from mustardspur_core.settings import Peer, Settings
from mustardspur_core.tasks import run_until_first_end
from mustardspur_core.wire import FrameStream, MalformedFrame, raise_on_silence

from mustardspur_control.relay.messages import RelayHello
from mustardspur_control.relay.shares import Share

_LOG: Final = logging.getLogger(__name__)
CONNECT_TIMEOUT_S: Final = 1.0
# Changes within this time of the last frames travel together. Counts of
# targets cross the paid links less often than reports and targets go around
# in a region; a leaving target is still gone everywhere within 3 s.
NEAR_SEND_GAP_S: Final = 0.1
FAR_SEND_GAP_S: Final = 0.5
RETRY_S: Final = 0.5
_LINK_ERRORS: Final = (OSError, EOFError, TimeoutError, MalformedFrame)
Connect = Callable[[str, float], AbstractAsyncContextManager[FrameStream]]


class PeerLink:
    """Keeps a stream to the first of some peers that answers.

    Parameters
    ----------
    settings : Settings
        Settings of this instance.
    peers : list of Peer
        One peer of the own region, or all peers of another region in order
        of their identifiers.
    shares : list of Share
        What the peer is kept up to date with.
    connect : callable
        Opens a stream to an address within a time.
    """

    __slots__ = ('_connect', '_settings', '_shares', 'live', 'peers', 'wake')

    def __init__(
        self,
        settings: Settings,
        peers: list[Peer],
        shares: list[Share],
        connect: Connect,
    ) -> None:
        """Prepare without connecting."""
        self._settings = settings
        self._shares = shares
        self._connect = connect
        self.peers = peers
        self.live: Peer | None = None
        self.wake = asyncio.Event()

    async def run(
        self,
        is_wanted: Callable[[], bool],
        is_upstream: Callable[['PeerLink'], bool],
    ) -> None:
        """Keep the stream for ever.

        Parameters
        ----------
        is_wanted : callable
            Whether the stream is needed now.
        is_upstream : callable
            Whether the link's peer is on the way to the leader.
        """
        place = 0
        while True:
            if is_wanted():
                await self._try(self.peers[place], is_wanted, is_upstream)
                place = (place + 1) % len(self.peers)
            await asyncio.sleep(RETRY_S)

    async def _try(
        self,
        peer: Peer,
        is_wanted: Callable[[], bool],
        is_upstream: Callable[['PeerLink'], bool],
    ) -> None:
        silence_s = self._settings.intervals.silence_s
        try:
            async with self._connect(peer.stream, CONNECT_TIMEOUT_S) as stream:
                await run_until_first_end(
                    self._send(stream, is_wanted, is_upstream),
                    self._receive(stream, peer),
                    raise_on_silence(stream, silence_s),
                )
        except _LINK_ERRORS as error:
            _LOG.info(
                'peer lost',
                extra={'peer': peer.id, 'reason': repr(error)},
            )
        self.live = None

    async def _send(
        self,
        stream: FrameStream,
        is_wanted: Callable[[], bool],
        is_upstream: Callable[['PeerLink'], bool],
    ) -> None:
        for share in self._shares:
            share.reset()
        stream.enqueue(
            RelayHello(
                control=self._settings.id,
                data_centre=self._settings.data_centre,
                region=self._settings.region,
            ),
        )
        is_near = self.peers[0].region == self._settings.region
        gap_s = NEAR_SEND_GAP_S if is_near else FAR_SEND_GAP_S
        while is_wanted():
            await stream.drain()
            self.wake.clear()
            for message in self._news(is_upstream(self)):
                stream.enqueue(message)
            await asyncio.sleep(gap_s)
            await self._wait(stream)

    def _news(self, is_upstream: bool) -> list[Record]:
        return [
            message
            for share in self._shares
            for message in share.news(is_upstream)
        ]

    async def _wait(self, stream: FrameStream) -> None:
        try:
            async with asyncio.timeout(self._settings.intervals.heartbeat_s):
                await self.wake.wait()
        except TimeoutError:
            stream.enqueue(Heartbeat(sequence=0))

    async def _receive(self, stream: FrameStream, peer: Peer) -> None:
        while True:
            await stream.receive()
            self.live = peer

"""Client side of the streams between control instances."""

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
from mustardspur_control.relay.update_sources import UpdateSource

_LOG: Final = logging.getLogger(__name__)
CONNECT_TIMEOUT_S: Final = 1.0
# Changes within this time after the last frames are sent together. The
# interval between regions is longer to save traffic on paid links; a removed
# target is still removed everywhere within 3 s.
REGION_SEND_INTERVAL_S: Final = 0.1
REMOTE_SEND_INTERVAL_S: Final = 0.5
RETRY_INTERVAL_S: Final = 0.5
_LINK_ERRORS: Final = (OSError, EOFError, TimeoutError, MalformedFrame)
Connect = Callable[[str, float], AbstractAsyncContextManager[FrameStream]]


class RelayPeerLink:
    """Maintains a stream to the first of several peers that answers.

    Parameters
    ----------
    settings : Settings
        Settings of this instance.
    peers : list of Peer
        One peer of this region, or all peers of another region in order
        of their identifiers.
    sources : list of UpdateSource
        Sources of the messages to the peer.
    connect : callable
        Opens a stream to an address within a time.
    """

    __slots__ = (
        '_connect',
        '_settings',
        '_sources',
        'connected_peer',
        'peers',
        'wake',
    )

    def __init__(
        self,
        settings: Settings,
        peers: list[Peer],
        sources: list[UpdateSource],
        connect: Connect,
    ) -> None:
        """Initialise without connecting."""
        self._settings = settings
        self._sources = sources
        self._connect = connect
        self.peers = peers
        self.connected_peer: Peer | None = None
        self.wake = asyncio.Event()

    async def run(
        self,
        is_wanted: Callable[[], bool],
        is_upstream: Callable[['RelayPeerLink'], bool],
    ) -> None:
        """Maintain the stream until the task is cancelled.

        Parameters
        ----------
        is_wanted : callable
            Returns whether the stream is needed now.
        is_upstream : callable
            Returns whether a link leads towards the leader.
        """
        position = 0
        while True:
            if is_wanted():
                await self._run_stream(
                    self.peers[position], is_wanted, is_upstream
                )
                position = (position + 1) % len(self.peers)
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _run_stream(
        self,
        peer: Peer,
        is_wanted: Callable[[], bool],
        is_upstream: Callable[['RelayPeerLink'], bool],
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
                'stream to peer ended',
                extra={'peer': peer.id, 'reason': repr(error)},
            )
        self.connected_peer = None

    async def _send(
        self,
        stream: FrameStream,
        is_wanted: Callable[[], bool],
        is_upstream: Callable[['RelayPeerLink'], bool],
    ) -> None:
        for source in self._sources:
            source.reset()
        stream.enqueue(
            RelayHello(
                control=self._settings.id,
                data_centre=self._settings.data_centre,
                region=self._settings.region,
            ),
        )
        is_in_own_region = self.peers[0].region == self._settings.region
        interval_s = (
            REGION_SEND_INTERVAL_S
            if is_in_own_region
            else REMOTE_SEND_INTERVAL_S
        )
        while is_wanted():
            await stream.drain()
            self.wake.clear()
            for message in self._pending_messages(is_upstream(self)):
                stream.enqueue(message)
            await asyncio.sleep(interval_s)
            await self._wait_for_change(stream)

    def _pending_messages(self, is_upstream: bool) -> list[Record]:
        return [
            message
            for source in self._sources
            for message in source.pending_messages(is_upstream)
        ]

    async def _wait_for_change(self, stream: FrameStream) -> None:
        try:
            async with asyncio.timeout(self._settings.intervals.heartbeat_s):
                await self.wake.wait()
        except TimeoutError:
            stream.enqueue(Heartbeat(sequence=0))

    async def _receive(self, stream: FrameStream, peer: Peer) -> None:
        while True:
            await stream.receive()
            self.connected_peer = peer

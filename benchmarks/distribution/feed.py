"""Stand-in for the replicated log: sends changes to all control instances.

As in the design, one instance per region, the gateway, receives each change
from the source over the paid link, and the others of its region receive it
from the gateway. In the baseline all instances receive it from the source.
"""

import asyncio
import time
from collections.abc import Callable, Iterator
from contextlib import (
    AbstractAsyncContextManager,
    contextmanager,
    suppress,
)
from typing import Final

import msgpack
import zstandard
from mustardspur_core.conversion import decode_array, encode_array
from mustardspur_core.record import Record
from mustardspur_core.state import Move, ServiceConfig
from mustardspur_core.wire import FrameStream, MalformedFrame, message

from benchmarks.distribution.topology import (
    SERVICES,
    make_config,
    service_name,
)

RETRY_S: Final = 0.5


@message(120)
class FeedHello(Record):
    """Requests all configurations and their later changes."""

    __slots__ = ('control',)
    control: str


@message(121)
class FeedChanges(Record):
    """A batch of changes as compressed msgpack."""

    __slots__ = ('packed',)
    packed: bytes


class FeedSource:
    """Newest configurations of a control instance, and its followers.

    Parameters
    ----------
    indexes : dict of int
        Newest index of each service, 1 if missing.
    """

    def __init__(self, indexes: dict[str, int]) -> None:
        """Initialise without followers."""
        self._configs = {
            service: make_config(service, indexes.get(service, 1))
            for service in map(service_name, range(SERVICES))
        }
        self._callbacks: list[Callable[[str], None]] = []
        self._followers: list[FrameStream] = []
        self._batch: list[ServiceConfig] = []
        self.received_batches = 0

    def put(self, newest: ServiceConfig) -> float:
        """Store a change, schedule it for the followers; return the time."""
        accepted_at = time.monotonic()
        self._configs[newest.service] = newest
        for callback in self._callbacks:
            callback(newest.service)
        if not self._batch:
            # All changes of one iteration of the loop form one batch.
            asyncio.get_running_loop().call_soon(self._send_batch)
        self._batch.append(newest)
        return accepted_at

    def config(self, service: str) -> ServiceConfig | None:
        """Return the newest configuration of a service."""
        return self._configs.get(service)

    def services(self) -> list[str]:
        """Return the names of all services."""
        return list(self._configs)

    def running_moves(self) -> list[Move]:
        """Return an empty list, since no service moves."""
        return []

    def on_change(self, callback: Callable[[str], None]) -> None:
        """Add a callback, which receives the name of a changed service."""
        self._callbacks.append(callback)

    async def serve(self, stream: FrameStream, hello: FeedHello) -> None:
        """Send all changes to a follower until its stream ends."""
        stream.enqueue(_pack(list(self._configs.values())))
        with self._registered(stream):
            await stream.receive()

    async def follow(self, stream: FrameStream, control: str) -> None:
        """Apply the changes of another instance until the stream ends."""
        stream.enqueue(FeedHello(control=control))
        while True:
            frame = await stream.receive()
            if isinstance(frame.body, FeedChanges):
                self.received_batches += 1
                self._apply(frame.body.packed)

    @contextmanager
    def _registered(self, stream: FrameStream) -> Iterator[None]:
        self._followers.append(stream)
        try:
            yield
        finally:
            self._followers.remove(stream)

    def _apply(self, packed: bytes) -> None:
        rows = msgpack.unpackb(zstandard.ZstdDecompressor().decompress(packed))
        for row in rows:
            newest = decode_array(ServiceConfig, row)
            if newest.index > self._configs[newest.service].index:
                self.put(newest)

    def _send_batch(self) -> None:
        changes = _pack(self._batch)
        self._batch.clear()
        for follower in self._followers:
            follower.enqueue(changes)


async def follow_with_retry(
    source: FeedSource,
    control: str,
    connect: Callable[[], AbstractAsyncContextManager[FrameStream]],
) -> None:
    """Follow another instance, and reconnect whenever the stream ends."""
    while True:
        with suppress(OSError, EOFError, MalformedFrame):
            async with connect() as stream:
                await source.follow(stream, control)
        await asyncio.sleep(RETRY_S)


def _pack(configs: list[ServiceConfig]) -> FeedChanges:
    rows = msgpack.packb([encode_array(each) for each in configs])
    return FeedChanges(packed=zstandard.ZstdCompressor().compress(rows))

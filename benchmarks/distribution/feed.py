"""Stand-in for the replicated log: changes from the source to all instances.

As in the design, one instance a region, the gateway, gets each change from
the source's region over the paid link and the others of its region get it
from the gateway; in the baseline every instance gets it from the source.
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
    """Asks for all later changes."""

    __slots__ = ('control',)
    control: str


@message(121)
class FeedChanges(Record):
    """Changes, packed and compressed as one batch."""

    __slots__ = ('packed',)
    packed: bytes


class FeedSource:
    """Newest configurations of one control instance, and its followers."""

    def __init__(self, indexes: dict[str, int]) -> None:
        """Start with a known index of each service."""
        self._configs = {
            service: make_config(service, indexes.get(service, 1))
            for service in map(service_name, range(SERVICES))
        }
        self._callbacks: list[Callable[[str], None]] = []
        self._followers: list[FrameStream] = []
        self._batch: list[ServiceConfig] = []
        self.received = 0

    def put(self, newest: ServiceConfig) -> float:
        """Take a change and pass it on; return the time."""
        accepted_at = time.monotonic()
        self._configs[newest.service] = newest
        for callback in self._callbacks:
            callback(newest.service)
        if not self._batch:
            # All changes of one turn of the loop travel as one batch.
            asyncio.get_running_loop().call_soon(self._pass_on)
        self._batch.append(newest)
        return accepted_at

    def config(self, service: str) -> ServiceConfig | None:
        """Return the newest configuration."""
        return self._configs.get(service)

    def services(self) -> list[str]:
        """Return all services."""
        return list(self._configs)

    def running_moves(self) -> list[Move]:
        """Return no moves."""
        return []

    def on_change(self, callback: Callable[[str], None]) -> None:
        """Keep a callback."""
        self._callbacks.append(callback)

    async def serve(self, stream: FrameStream, hello: FeedHello) -> None:
        """Feed a follower until it is gone."""
        stream.enqueue(_packed(list(self._configs.values())))
        with self._following(stream):
            await stream.receive()

    async def follow(self, stream: FrameStream, control: str) -> None:
        """Take the changes of another instance."""
        stream.enqueue(FeedHello(control=control))
        while True:
            frame = await stream.receive()
            if isinstance(frame.body, FeedChanges):
                self.received += 1
                self._take(frame.body.packed)

    @contextmanager
    def _following(self, stream: FrameStream) -> Iterator[None]:
        self._followers.append(stream)
        try:
            yield
        finally:
            self._followers.remove(stream)

    def _take(self, packed: bytes) -> None:
        rows = msgpack.unpackb(zstandard.ZstdDecompressor().decompress(packed))
        for row in rows:
            newest = decode_array(ServiceConfig, row)
            if newest.index > self._configs[newest.service].index:
                self.put(newest)

    def _pass_on(self) -> None:
        changes = _packed(self._batch)
        self._batch.clear()
        for follower in self._followers:
            follower.enqueue(changes)


async def follow_always(
    source: FeedSource,
    control: str,
    connect: Callable[[], AbstractAsyncContextManager[FrameStream]],
) -> None:
    """Follow another instance, over a new stream whenever one ends."""
    while True:
        with suppress(OSError, EOFError, MalformedFrame):
            async with connect() as stream:
                await source.follow(stream, control)
        await asyncio.sleep(RETRY_S)


def _packed(configs: list[ServiceConfig]) -> FeedChanges:
    rows = msgpack.packb([encode_array(each) for each in configs])
    return FeedChanges(packed=zstandard.ZstdCompressor().compress(rows))

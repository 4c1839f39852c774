"""Connections in memory that delay, repeat, reorder and lose messages."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from random import Random

from mustardspur_core.record import Record
from mustardspur_core.wire import Frame, decode_frame, encode_frame

Accept = Callable[['FakeChannel'], Awaitable[None]]


class FakeChannel:
    """One end of a connection; implements `Channel`."""

    def __init__(self, network: 'FakeNetwork', own: str, other: str) -> None:
        """Initialise an open channel without its remote end."""
        self._network = network
        self._ends = (own, other)
        self._inbox: asyncio.Queue[Frame | None] = asyncio.Queue()
        self._greeting_sent = False
        self.closed = False
        self.remote: FakeChannel | None = None

    def enqueue(self, body: Record, request_id: int = 0) -> None:
        """Deliver later, perhaps twice, or never across a partition."""
        encoded = encode_frame(body, request_id)
        delays = self._network.delays() if self._greeting_sent else [0]
        self._greeting_sent = True
        for delay_s in delays:
            asyncio.get_running_loop().call_later(
                delay_s,
                self._deliver,
                encoded,
            )

    async def send(self, body: Record, request_id: int = 0) -> None:
        """Deliver later; fail on a closed connection."""
        if self.closed:
            raise ConnectionResetError
        self.enqueue(body, request_id)

    async def receive(self) -> Frame:
        """Wait for a frame."""
        frame = None if self.closed else await self._inbox.get()
        if frame is None:
            raise EOFError
        return frame

    def close(self) -> None:
        """Close both ends, as after a connection reset."""
        for end in (self, self.remote):
            if end is not None and not end.closed:
                end.closed = True
                end._inbox.put_nowait(None)

    def _deliver(self, encoded: bytes) -> None:
        remote = self.remote
        if remote is None or remote.closed:
            return
        if not self._network.is_blocked(*self._ends):
            remote._inbox.put_nowait(decode_frame(encoded))


class FakeNetwork:
    """Partitions and message delays between instances."""

    def __init__(self, random: Random) -> None:
        """Initialise without partitions or instances."""
        self._random = random
        self._accept_by_address: dict[str, tuple[str, Accept]] = {}
        self._blocked: set[frozenset[str]] = set()
        # Probability of a duplicate, and of a long delay, of each message.
        self.disorder: float = 0
        self.sent = 0

    def listen(self, address: str, instance: str, accept: Accept) -> None:
        """Register the accept function of an instance."""
        self._accept_by_address[address] = (instance, accept)

    def stop(self, address: str) -> None:
        """Refuse new connections to an address."""
        self._accept_by_address.pop(address, None)

    def block(self, one: str, other: str) -> None:
        """Drop all messages between two instances."""
        self._blocked.add(frozenset((one, other)))

    def heal(self) -> None:
        """Remove all partitions."""
        self._blocked.clear()

    def is_blocked(self, one: str, other: str) -> bool:
        """Whether messages between two instances are lost."""
        return frozenset((one, other)) in self._blocked

    def delays(self) -> list[float]:
        """Return the delay of each copy of the next message, in seconds."""
        self.sent += 1
        copies = 2 if self._random.random() < self.disorder else 1
        max_extra_delay_s = (
            0.4 if self._random.random() < self.disorder else 0.004
        )
        return [
            0.001 + self._random.random() * max_extra_delay_s
            for _ in range(copies)
        ]

    def dial_from(self, instance: str) -> 'FakeDial':
        """Return the dial function of an instance."""
        return FakeDial(self, instance)

    def accept_at(self, address: str) -> tuple[str, Accept]:
        """Return the instance that listens at an address, with its function."""
        if address not in self._accept_by_address:
            raise ConnectionRefusedError
        return self._accept_by_address[address]


class FakeDial:
    """Opens connections of one instance; implements `Dial`."""

    def __init__(self, network: FakeNetwork, own: str) -> None:
        """Initialise for one instance."""
        self._network = network
        self._own = own

    @asynccontextmanager
    async def __call__(
        self,
        address: str,
        timeout_s: float,
    ) -> AsyncIterator[FakeChannel]:
        """Connect; fail as TCP does if refused or partitioned."""
        other, accept = self._network.accept_at(address)
        if self._network.is_blocked(self._own, other):
            await asyncio.sleep(timeout_s)
            raise TimeoutError
        local = FakeChannel(self._network, self._own, other)
        remote = FakeChannel(self._network, other, self._own)
        local.remote = remote
        remote.remote = local
        await accept(remote)
        try:
            yield local
        finally:
            local.close()

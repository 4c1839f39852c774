"""Tests of the account of what is held for connections."""

import asyncio
from functools import partial
from typing import Final

from mustardspur_core.held_bytes import STALL_S, HeldBytes, HeldShare

from tests.support.virtual_time import in_virtual_time

# The limit is 1.05 MiB, which is more than two parts and less than three.
_MEMORY_MB: Final = 8.75
_PART: Final = 400_000


class _Clients:
    """Connections by number, each with a share of the account."""

    def __init__(self) -> None:
        self.account = HeldBytes(_MEMORY_MB)
        self.closed: list[int] = []
        self.reading: set[int] = set()
        self.shares: dict[int, HeldShare] = {}

    def hold(self, number: int, size: int = _PART) -> HeldShare:
        share = HeldShare(
            self.account,
            partial(self.closed.append, number),
            partial(self.reading.__contains__, number),
        )
        self.shares[number] = share
        share.resize(size)
        return share


async def test_stalled_client_gives_way_first() -> None:
    """Guards against clients that fill the memory and stop, so that nobody
    else is served, and against the close of those that progress.
    """
    clients = _Clients()
    for number in range(3):
        clients.hold(number).owe(has_progressed=True)
    clients.shares[0].owe(has_progressed=True)
    clients.reading.add(1)
    clients.hold(3)
    assert clients.closed == [2]
    assert clients.account.held_bytes == 3 * _PART


async def test_running_requests_are_never_closed() -> None:
    """Guards against a call that runs and whose connection is closed."""
    clients = _Clients()
    for number in range(5):
        clients.hold(number).owe(has_progressed=True)
        clients.shares[number].settle()
    assert not clients.closed
    assert clients.account.is_full


async def test_those_that_wait_go_on_in_their_order() -> None:
    """Guards against connections that stay paused once there is room."""
    clients = _Clients()
    shares = [clients.hold(number) for number in range(4)]
    started: list[int] = []
    for number in range(2):
        clients.account.wait(partial(_start, clients, started, number))
    shares.pop().release()
    assert not started
    shares.pop().release()
    assert started == [0]
    shares.pop().release()
    assert started == [0, 1]


@in_virtual_time
async def test_stalled_clients_give_way_to_those_that_wait() -> None:
    """Guards against new callers that wait for ever behind unread answers."""
    clients = _Clients()
    clients.hold(0).owe(has_progressed=True)
    clients.hold(1, 2 * _PART)
    started: list[int] = []
    clients.account.wait(partial(_start, clients, started, 0))
    await asyncio.sleep(STALL_S / 2)
    assert not started
    await asyncio.sleep(STALL_S)
    assert clients.closed == [0]
    assert started == [0]


def _start(clients: _Clients, started: list[int], number: int) -> None:
    started.append(number)
    clients.hold(10 + number)

"""Tests of the account of what is held for connections."""

from functools import partial
from typing import Final

from mustardspur_core.held_bytes import HeldBytes, HeldShare

# The limit is 1 MiB.
_MEMORY_MB: Final = 5
_THIRD: Final = 349_525


class _Clients:
    """Connections by number, each with a share of the account."""

    def __init__(self) -> None:
        self.account = HeldBytes(_MEMORY_MB)
        self.closed: list[int] = []
        self.shares: dict[int, HeldShare] = {}

    def hold(self, number: int, size: int = _THIRD) -> HeldShare:
        close = partial(self.closed.append, number)
        share = HeldShare(self.account, close)
        self.shares[number] = share
        share.change(size)
        return share


def test_stalled_client_gives_way_first() -> None:
    """Guards against clients that fill the memory and stop, so that nobody
    else is served, and against the close of those that progress.
    """
    clients = _Clients()
    for number in range(3):
        clients.hold(number).owe()
    clients.shares[0].owe()
    clients.hold(3)
    assert clients.closed == [1]
    assert clients.account.held_bytes == 3 * _THIRD


def test_running_requests_are_never_closed() -> None:
    """Guards against a call that runs and whose connection is closed."""
    clients = _Clients()
    for number in range(4):
        clients.hold(number).owe()
        clients.shares[number].settle()
    assert not clients.closed
    assert clients.account.is_full


def test_those_that_wait_go_on_in_their_order() -> None:
    """Guards against connections that stay paused once there is room."""
    clients = _Clients()
    shares = [clients.hold(number) for number in range(5)]
    started: list[int] = []
    for number in range(2):
        clients.account.wait(partial(_start, clients, started, number))
    shares.pop().release()
    assert not started
    shares.pop().release()
    assert started == [0]
    shares.pop().release()
    shares.pop().release()
    assert started == [0, 1]


def _start(clients: _Clients, started: list[int], number: int) -> None:
    started.append(number)
    clients.hold(10 + number, 2 * _THIRD)

"""Ports on loopback addresses that no other test process takes.

Ports that the kernel assigns are taken by other test processes and by outgoing
connections before the process under test listens on them.
"""

import secrets
import socket
from contextlib import ExitStack, suppress
from typing import Final

# Below the ports that the kernel assigns to outgoing connections.
_PORT_RANGE: Final = range(10_240, 32_768)
# No process under test listens on this address.
_RESERVING_HOST: Final = '127.0.7.250'
# Sockets that reserve the ports of `free_address` until the process ends.
_RESERVATIONS: Final = ExitStack()


def free_address() -> str:
    """Return a loopback address whose port stays reserved for this process."""
    return f'127.0.0.1:{reserve_port(_RESERVATIONS)}'


def reserve_port(reservations: ExitStack) -> int:
    """Return a free port, reserved until the reservations are closed.

    A port is reserved by a socket on an address of its own, so that processes
    can listen on it, and restart.
    """
    while True:
        # Not seeded, since other processes would draw the same ports.
        port = secrets.choice(_PORT_RANGE)
        with suppress(OSError), socket.socket() as probe:
            probe.bind(('0.0.0.0', port))
            probe.close()
            reservation = reservations.enter_context(socket.socket())
            reservation.bind((_RESERVING_HOST, port))
            return port

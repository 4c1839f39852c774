"""The end of what a process writes to a connection."""

import asyncio
import socket
from contextlib import suppress


def hold_last_segment(transport: asyncio.Transport) -> None:
    """Send the last segment of what is written only with the end behind it.

    Explanation
    ===========

    The other side could otherwise read the whole of an answer and send another
    request before the end arrives: the event loop may be late, and the kernel,
    while it is short of memory for sockets, sends an end behind a segment that
    is not acknowledged only when that is due to be sent again, after 200 ms or
    more.

    Parameters
    ----------
    transport : asyncio.Transport
        The connection, whose writing side is closed afterwards.
    """
    connected = transport.get_extra_info('socket')
    if connected is None or transport.is_closing():
        return
    with suppress(OSError):
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)

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
        The connection, whose writing side is closed with `end_writing`.
    """
    connected = transport.get_extra_info('socket')
    if connected is None or transport.is_closing():
        return
    with suppress(OSError):
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)


def end_writing(transport: asyncio.Transport) -> None:
    """Close the writing side once all is written, at once if it is.

    Explanation
    ===========

    uvloop would close it in its next iteration, and what arrives until then is
    no longer answered.

    Parameters
    ----------
    transport : asyncio.Transport
        The connection, on which nothing is written any more.
    """
    if transport.is_closing():
        return
    if transport.get_write_buffer_size():
        transport.write_eof()
        return
    descriptor = transport.get_extra_info('socket').fileno()
    connected = socket.socket(fileno=descriptor)
    # The other side may have reset the connection.
    with suppress(OSError):
        connected.shutdown(socket.SHUT_WR)
    connected.detach()

"""What the kernel knows of a connection beside the event loop."""

import asyncio
import errno
import select
import socket
from typing import Final

# State of a connection that was reset, or closed on both sides.
_TCP_CLOSE: Final = 7


def has_arrived(transport: asyncio.Transport | None) -> bool:
    """Return whether bytes, or an end, wait to be read by the event loop."""
    return _has_events(transport, select.POLLIN)


def has_ended(transport: asyncio.Transport | None) -> bool:
    """Return whether the other side has closed or reset the connection."""
    return _has_events(transport, select.POLLRDHUP)


def ended_in_order(transport: asyncio.Transport) -> bool | None:
    """Return whether the other side has ended the stream and not reset it.

    Explanation
    ===========

    Addresses event loops that report a reset as the end of the stream. The
    kernel reports a reset once, to a read or a write, with an error that says
    whether the end had arrived before it.

    Returns
    -------
    bool or None
        None if a write has been told already.
    """
    raw_socket = transport.get_extra_info('socket')
    # In this order, as a reset may arrive in between.
    state = raw_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    error = raw_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if state != _TCP_CLOSE:
        return True
    return error == errno.EPIPE if error else None


def _has_events(transport: asyncio.Transport | None, awaited: int) -> bool:
    """Return whether one of some events, an error or an end is pending."""
    if transport is None or transport.is_closing():
        return False
    poll = select.poll()
    poll.register(transport.get_extra_info('socket').fileno(), awaited)
    return bool(poll.poll(0))

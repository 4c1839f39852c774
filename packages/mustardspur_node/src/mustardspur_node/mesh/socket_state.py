"""What the kernel knows of a connection beside the event loop."""

import asyncio
import select


def has_arrived(transport: asyncio.Transport | None) -> bool:
    """Return whether bytes, or an end, wait to be read by the event loop."""
    return _has_events(transport, select.POLLIN)


def has_ended(transport: asyncio.Transport | None) -> bool:
    """Return whether the other side has closed or reset the connection."""
    return _has_events(transport, select.POLLRDHUP)


def _has_events(transport: asyncio.Transport | None, awaited: int) -> bool:
    """Return whether one of some events, an error or an end is pending."""
    if transport is None or transport.is_closing():
        return False
    poll = select.poll()
    poll.register(transport.get_extra_info('socket').fileno(), awaited)
    return bool(poll.poll(0))

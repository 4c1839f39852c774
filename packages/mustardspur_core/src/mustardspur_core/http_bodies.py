"""Reading of HTTP request bodies within the memory of the process."""

import asyncio
import logging
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Final

from aiohttp import web

from mustardspur_core.units import BYTES_PER_MIB

_LOG: Final = logging.getLogger(__name__)

# Bodies of up to this size are bounded by the number of connections.
SMALL_BODY_BYTES: Final = 65_536
DEFAULT_MEMORY_MB: Final = 300
# Part of the memory of the process that larger bodies may take.
BODIES_PART: Final = 0.12
# Decoded documents take up to ten times the size of their bodies, so bodies
# from this size on are handled one after the other.
EXCLUSIVE_BODY_BYTES: Final = BYTES_PER_MIB
# Operators try another instance after about a second without an answer.
WAIT_S: Final = 3.0
RETRY_AFTER_S: Final = 1
# Between two log lines.
LOG_INTERVAL_S: Final = 10.0


class LargeBodies:
    """Room of a process for the larger bodies of requests.

    Explanation
    ===========

    Room is reserved before a body is read. A body that does not fit is left to
    its client, which TCP slows down, and refused after a bounded wait.

    Parameters
    ----------
    memory_mb : float, optional
        Memory that the process may use, in MiB.
    """

    __slots__ = (
        '_exclusive',
        '_held_bytes',
        '_limit_bytes',
        '_logged_s',
        '_released',
        '_unlogged',
    )

    def __init__(self, memory_mb: float = DEFAULT_MEMORY_MB) -> None:
        """Initialise without bodies."""
        self._limit_bytes = int(BODIES_PART * memory_mb * BYTES_PER_MIB)
        self._held_bytes = 0
        self._released = asyncio.Condition()
        self._exclusive = asyncio.Lock()
        self._logged_s = float('-inf')
        # Refused bodies since the latest line.
        self._unlogged = 0

    @asynccontextmanager
    async def reading(
        self,
        request: web.BaseRequest,
        limit: int,
    ) -> AsyncIterator[bytes]:
        """Read a body, and hold room for it while the context is active.

        Parameters
        ----------
        request : web.BaseRequest
            The request; its body has not been read.
        limit : int
            Largest allowed body in bytes.

        Yields
        ------
        bytes
            The body.

        Raises
        ------
        web.HTTPRequestEntityTooLarge
            If the body is larger than the limit.
        web.HTTPServiceUnavailable
            If there is no room for the body in time.
        """
        announced = request.content_length
        check_length(announced, limit)
        # The size of a body in chunks is not known before its end.
        size = limit if announced is None else announced
        if size <= SMALL_BODY_BYTES:
            yield await read_body(request, limit)
            return
        async with AsyncExitStack() as stack:
            await self._reserve(stack, size)
            yield await read_body(request, limit)

    async def _reserve(self, stack: AsyncExitStack, size: int) -> None:
        try:
            async with asyncio.timeout(WAIT_S):
                await stack.enter_async_context(self._holding(size))
                if size >= EXCLUSIVE_BODY_BYTES:
                    await stack.enter_async_context(self._exclusive)
        except TimeoutError:
            self._report(size)
            raise web.HTTPServiceUnavailable(
                headers={'Retry-After': str(RETRY_AFTER_S)},
                text='too many large requests; this one has not run',
            ) from None

    @asynccontextmanager
    async def _holding(self, size: int) -> AsyncIterator[None]:
        async with self._released:
            await self._released.wait_for(lambda: self._fits(size))
            self._held_bytes += size
        try:
            yield
        finally:
            self._held_bytes -= size
            async with self._released:
                self._released.notify_all()

    def _report(self, size: int) -> None:
        self._unlogged += 1
        now_s = asyncio.get_running_loop().time()
        if now_s - self._logged_s < LOG_INTERVAL_S:
            return
        _LOG.warning(
            'body refused',
            extra={
                'size': size,
                'held_bytes': self._held_bytes,
                'limit_bytes': self._limit_bytes,
                'refused': self._unlogged,
            },
        )
        self._logged_s = now_s
        self._unlogged = 0

    def _fits(self, size: int) -> bool:
        held = self._held_bytes
        return not held or held + size <= self._limit_bytes


def check_length(announced: int | None, limit: int) -> None:
    """Refuse a body that is announced to be larger than the limit.

    Raises
    ------
    web.HTTPRequestEntityTooLarge
        If the body is larger.
    """
    if announced is not None and announced > limit:
        raise _too_large(limit, announced)


async def read_body(request: web.BaseRequest, limit: int) -> bytes:
    """Read a body of up to a limit.

    Explanation
    ===========

    `web.BaseRequest.read` raises the read buffer to the largest allowed body
    and holds the body twice at its end.

    Raises
    ------
    web.HTTPRequestEntityTooLarge
        If the body is larger than the limit.
    """
    check_length(request.content_length, limit)
    parts: list[bytes] = []
    size = 0
    async for part in request.content.iter_any():
        size += len(part)
        check_length(size, limit)
        parts.append(part)
    return b''.join(parts)


async def discard_body(request: web.BaseRequest, limit: int) -> None:
    """Read a body of up to a limit without holding it.

    Raises
    ------
    web.HTTPRequestEntityTooLarge
        If the body is larger than the limit.
    """
    check_length(request.content_length, limit)
    size = 0
    async for part in request.content.iter_any():
        size += len(part)
        check_length(size, limit)


def _too_large(limit: int, size: int) -> web.HTTPRequestEntityTooLarge:
    return web.HTTPRequestEntityTooLarge(
        max_size=limit,
        actual_size=size,
        text=f'the body has more than {limit} bytes',
    )

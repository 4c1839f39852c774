"""Reading of HTTP request bodies within the memory of the process."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import (
    AbstractAsyncContextManager,
    AsyncExitStack,
    asynccontextmanager,
    contextmanager,
)
from typing import Final

from aiohttp import StreamReader, web

from mustardspur_core.held_bytes import DEFAULT_MEMORY_MB
from mustardspur_core.repeated_warning import RepeatedWarning
from mustardspur_core.units import BYTES_PER_MIB

_LOG: Final = logging.getLogger(__name__)

# Bodies of up to this size are bounded by the number of connections.
SMALL_BODY_BYTES: Final = 65_536
DEFAULT_MAX_BYTES: Final = 8_388_608
# Part of the memory of the process that larger bodies may take.
BODIES_PART: Final = 0.12
# Decoded documents take up to ten times the size of their bodies, so bodies
# from this size on are handled one after the other.
EXCLUSIVE_BODY_BYTES: Final = BYTES_PER_MIB
# Operators try another instance after about a second without an answer.
WAIT_S: Final = 3.0
RETRY_AFTER_S: Final = 1
# Time for a body, and its least rate beside it: a client that sends slower
# would keep others from its room.
READ_S: Final = 5.0
LEAST_BYTES_PER_S: Final = BYTES_PER_MIB
_PLAIN: Final = 'identity'


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
    max_bytes : int, optional
        Largest allowed body in bytes.

    Attributes
    ----------
    max_bytes : int
        As the parameter.
    """

    __slots__ = (
        '_exclusive',
        '_held_bytes',
        '_limit_bytes',
        '_refused',
        '_released',
        'max_bytes',
    )

    def __init__(
        self,
        memory_mb: float = DEFAULT_MEMORY_MB,
        max_bytes: int = DEFAULT_MAX_BYTES,
    ) -> None:
        """Initialise without bodies."""
        self.max_bytes = max_bytes
        self._limit_bytes = int(BODIES_PART * memory_mb * BYTES_PER_MIB)
        self._held_bytes = 0
        self._released = asyncio.Condition()
        self._exclusive = asyncio.Lock()
        self._refused = RepeatedWarning(_LOG, 'body refused')

    @asynccontextmanager
    async def reading(
        self,
        request: web.BaseRequest,
    ) -> AsyncIterator[bytes]:
        """Read a body, and hold room for it while the context is active.

        Parameters
        ----------
        request : web.BaseRequest
            The request; its body has not been read.

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
        limit = self.max_bytes
        announced = request.content_length
        check_length(announced, limit)
        # The size of a body in chunks is not known before its end.
        size = limit if announced is None else announced
        if size <= SMALL_BODY_BYTES:
            yield await read_body(request, limit)
            return
        async with AsyncExitStack() as stack:
            await self._enter(stack, self._holding(size), size)
            body = await read_body(request, limit)
            if len(body) >= EXCLUSIVE_BODY_BYTES:
                await self._enter(stack, self._exclusive, size)
            yield body

    async def _enter(
        self,
        stack: AsyncExitStack,
        context: AbstractAsyncContextManager[None],
        size: int,
    ) -> None:
        try:
            async with asyncio.timeout(WAIT_S):
                await stack.enter_async_context(context)
        except TimeoutError:
            self._refused.log(
                size=size,
                held_bytes=self._held_bytes,
                limit_bytes=self._limit_bytes,
            )
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
    web.HTTPException
        If the body is larger than the limit, encoded, or late; the request
        has not run.
    """
    with _emptied_parts() as parts:
        await _take(request, limit, parts.append)
        return b''.join(parts)


async def discard_body(request: web.BaseRequest, limit: int) -> None:
    """Read a body of up to a limit without holding it.

    Raises
    ------
    web.HTTPException
        As `read_body`.
    """
    await _take(request, limit, _drop)


async def _take(
    request: web.BaseRequest,
    limit: int,
    take: Callable[[bytes], None],
) -> None:
    announced = request.content_length
    check_length(announced, limit)
    encoding = request.headers.get('Content-Encoding', _PLAIN)
    if encoding.lower() != _PLAIN:
        raise web.HTTPUnsupportedMediaType(text='the body is encoded')
    largest = limit if announced is None else announced
    try:
        async with asyncio.timeout(READ_S + largest / LEAST_BYTES_PER_S):
            await _take_parts(request.content, limit, take)
    except TimeoutError:
        raise web.HTTPRequestTimeout(text='the body is late') from None


async def _take_parts(
    parts: StreamReader,
    limit: int,
    take: Callable[[bytes], None],
) -> None:
    size = 0
    async for part in parts.iter_any():
        size += len(part)
        check_length(size, limit)
        take(part)


@contextmanager
def _emptied_parts() -> Iterator[list[bytes]]:
    """Hold no part after a block.

    The traceback of a failure refers to them, and may live until a garbage
    collection.
    """
    parts: list[bytes] = []
    try:
        yield parts
    finally:
        parts.clear()


def _drop(_: bytes) -> None:
    """Hold nothing."""


def _too_large(limit: int, size: int) -> web.HTTPRequestEntityTooLarge:
    return web.HTTPRequestEntityTooLarge(
        max_size=limit,
        actual_size=size,
        text=f'the body has more than {limit} bytes',
    )

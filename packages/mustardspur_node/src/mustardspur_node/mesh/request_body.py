"""Body of a caller's request, read on demand."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import suppress
from http import HTTPStatus
from typing import Final

from aiohttp.http import HttpProcessingError
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

from mustardspur_node.mesh.body_buffer import BodyBuffer
from mustardspur_node.mesh.caller_payload import CallerPayload
from mustardspur_node.mesh.calls import UnansweredCall
from mustardspur_node.mesh.socket_state import has_ended

_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'


class CallerBodyError(UnansweredCall):
    """A request body is too long, malformed or late, or finds no room.

    The call has not run, and the rest of the body is not read.

    Parameters
    ----------
    status : HTTPStatus
        Status for the caller.
    reason : str
        Description for the caller.
    retry_after_s : float
        Delay in seconds after which the caller may retry.
    """

    def __init__(
        self,
        status: HTTPStatus,
        reason: str,
        retry_after_s: float = 0,
    ) -> None:
        """Initialise the error with the status and reason for the caller."""
        super().__init__(status, reason, retry_after_s, closes=True)


class RequestBody:
    """Body of a request, of which no more is received than is read.

    Parameters
    ----------
    message : RawRequestMessage
        Head of the request.
    payload : StreamReader
        Receives the body from the parser.
    limit : int
        Longest body in bytes.
    transport : Transport or None
        Connection of the caller.

    Attributes
    ----------
    on_read_end : callable or None
        Called once the body is held no longer.
    on_answered : callable or None
        Called once the answer is written, or the caller is gone.
    payload : CallerPayload
        What is received of the body.
    """

    __slots__ = (
        '_limit',
        '_message',
        '_payload',
        '_transport',
        'on_answered',
        'on_read_end',
        'payload',
    )

    def __init__(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        limit: int,
        transport: asyncio.Transport | None,
    ) -> None:
        """Initialise a body of which nothing is read."""
        self._message = message
        self._payload = payload
        is_empty = payload is EMPTY_PAYLOAD
        self.payload = CallerPayload(
            payload, self.stated_bytes, is_empty=is_empty
        )
        self._limit = limit
        self._transport = transport
        self.on_read_end: Callable[[], None] | None = None
        self.on_answered: Callable[[], None] | None = None

    async def __call__(self) -> bytes:
        """Return the whole body, which is not counted.

        Raises
        ------
        CallerBodyError
            If the body is too long or malformed.
        """
        buffer = BodyBuffer()
        async for part in self.parts():
            buffer.add(part)
        return buffer.take()

    @property
    def is_empty(self) -> bool:
        """Whether the request has no body."""
        return self._payload is EMPTY_PAYLOAD

    @property
    def is_incomplete(self) -> bool:
        """Whether a part of the body has not been received."""
        return not self.is_empty and not self._payload.is_eof()

    @property
    def stated_bytes(self) -> int | None:
        """Length that the caller states, None for a body in chunks."""
        stated = self._message.headers.get('content-length')
        return None if stated is None else int(stated)

    def check_stated(self) -> None:
        """Check the stated length before anything is read.

        Raises
        ------
        CallerBodyError
            If the body is too long.
        """
        if (self.stated_bytes or 0) > self._limit:
            raise _too_long(self._limit)

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body as they arrive.

        Raises
        ------
        CallerBodyError
            If the body is too long or malformed.
        """
        if self.is_empty:
            return
        self.check_stated()
        self._send_continue()
        size = 0
        while not self._payload.at_eof():
            part = await self._next_part()
            size += len(part)
            if size > self._limit:
                raise _too_long(self._limit)
            yield part
        self.payload.end()

    async def discard(self, time_s: float) -> None:
        """Read the body and hold nothing of it, if it arrives within a time.

        A caller that waits to be asked for its body is not asked. The answer
        to a body that has not arrived closes the connection.

        Raises
        ------
        CallerBodyError
            If the body is too long or malformed.
        """
        if _is_awaited(self._message):
            return
        with suppress(TimeoutError):
            async with asyncio.timeout(time_s):
                async for _ in self.parts():
                    """Drop the part."""

    def fail(self, error: CallerBodyError) -> None:
        """Raise an error where a part is waited for."""
        self._payload.set_exception(error)

    def abort_if_left(self) -> None:
        """Close the connection if the caller is gone.

        The end of a connection that is not read is not reported otherwise.
        """
        if self._transport is not None and has_ended(self._transport):
            self._transport.abort()

    def end_read(self) -> None:
        """Hold the body no longer, since its call has ended."""
        if self.on_read_end is not None:
            self.on_read_end()
            self.on_read_end = None

    def end_answer(self) -> None:
        """Hold the answer no longer."""
        if self.on_answered is not None:
            self.on_answered()
            self.on_answered = None

    async def _next_part(self) -> bytes:
        try:
            return await self.payload.read()
        except (HttpProcessingError, OSError) as error:
            raise CallerBodyError(
                HTTPStatus.BAD_REQUEST,
                'request body is malformed',
            ) from error

    def _send_continue(self) -> None:
        if _is_awaited(self._message) and self._transport:
            self._transport.write(_CONTINUE)


def _is_awaited(message: RawRequestMessage) -> bool:
    """Return whether the caller waits to be asked for the body."""
    expected: str = message.headers.get('expect', '')
    return expected.lower() == '100-continue'


def _too_long(limit: int) -> CallerBodyError:
    return CallerBodyError(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        f'request body is over {limit} bytes',
    )

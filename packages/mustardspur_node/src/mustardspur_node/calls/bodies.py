"""Request bodies: short ones are buffered for retries, others streamed."""

from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Final

from aiohttp import web

from mustardspur_node.calls import names
from mustardspur_node.calls.error_responses import CallFault, not_run, unknown

MAX_BUFFERED_BODY_BYTES: Final = 65_536
MAX_BODY_BYTES: Final = 67_108_864
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'


class BodyFault(Exception):
    """The caller did not send a complete body within the size limit."""


class RequestBody:
    """Body of a call.

    Parameters
    ----------
    buffered : bytes or None
        The complete body, None if it is streamed or empty.
    stream : async iterator of bytes or None
        Chunks of a streamed body, which can be sent only once.
    """

    __slots__ = ('_stream', 'buffered', 'size', 'started')

    def __init__(
        self,
        buffered: bytes | None,
        stream: AsyncIterator[bytes] | None = None,
    ) -> None:
        """Initialise a buffered, streamed or empty body."""
        self.buffered = buffered
        self._stream = stream
        self.started = False
        self.size = len(buffered) if buffered else 0

    @property
    def streamed(self) -> bool:
        """Whether the body is too long to be buffered."""
        return self._stream is not None

    @property
    def repeatable(self) -> bool:
        """Whether the body can be sent again from its start."""
        return self._stream is None or not self.started

    def payload(self) -> bytes | AsyncIterator[bytes] | None:
        """Return the body in the form that the HTTP client sends."""
        return self.buffered if self._stream is None else self._chunks()

    async def _chunks(self) -> AsyncIterator[bytes]:
        assert self._stream is not None
        self.started = True
        async for part in self._stream:
            self.size += len(part)
            yield part


NO_BODY: Final = RequestBody(None)


async def read_body(request: web.BaseRequest) -> RequestBody:
    """Read a short body completely; prepare a longer one for streaming.

    Raises
    ------
    CallFault
        If the body is too long, malformed or incomplete; the call was not
        run.
    """
    await _send_continue(request)
    if not request.body_exists:
        return NO_BODY
    length = request.content_length
    if length is not None and length > MAX_BODY_BYTES:
        raise _too_long()
    try:
        buffered = await _read_up_to(request, MAX_BUFFERED_BODY_BYTES + 1)
    except web.RequestPayloadError as error:
        raise not_run(
            HTTPStatus.BAD_REQUEST,
            'request body is malformed',
        ) from error
    if request.content.at_eof():
        return RequestBody(buffered)
    return RequestBody(None, _stream(request, buffered))


async def _read_up_to(request: web.BaseRequest, size: int) -> bytes:
    parts = []
    missing = size
    while missing > 0 and not request.content.at_eof():
        part = await request.content.readany()
        parts.append(part)
        missing -= len(part)
    return b''.join(parts)


async def _stream(
    request: web.BaseRequest,
    buffered: bytes,
) -> AsyncIterator[bytes]:
    total = len(buffered)
    yield buffered
    while not request.content.at_eof():
        part = await request.content.readany()
        total += len(part)
        if total > MAX_BODY_BYTES:
            raise unknown(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                'request body is too long',
            )
        yield part


async def _send_continue(request: web.BaseRequest) -> None:
    expected = request.headers.get(names.EXPECT)
    if expected is None:
        return
    if expected.lower() != '100-continue':
        raise not_run(
            HTTPStatus.EXPECTATION_FAILED,
            'expectation is not known',
        )
    transport = request.transport
    if transport is not None:
        transport.write(_CONTINUE)


def _too_long() -> CallFault:
    return not_run(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        'request body is too long',
    )

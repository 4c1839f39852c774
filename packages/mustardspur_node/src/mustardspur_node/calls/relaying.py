"""Relaying of responses from targets to callers."""

from http import HTTPStatus
from typing import Final

from aiohttp import ClientError, web
from aiohttp.http import HttpProcessingError
from mustardspur_core.tracebacks import release_frames
from mustardspur_core.units import BYTES_PER_MIB

from mustardspur_node.calls.attempts import Attempt, Reply
from mustardspur_node.calls.error_responses import unknown
from mustardspur_node.calls.headers import forwarded_response_headers

MAX_STORED_RESPONSE_BYTES: Final = BYTES_PER_MIB


async def relay_response(attempt: Attempt, reply: Reply) -> web.StreamResponse:
    """Return a short response, or stream a long one to the caller.

    Explanation
    ===========

    A short response is complete before its first byte is sent to the caller.
    If a long one breaks, the connection of the caller is aborted, so that a
    truncated response does not look complete.
    """
    response = reply.response
    if reply.body is not None:
        return await buffer_response(attempt, reply)
    relayed = web.StreamResponse(
        status=response.status,
        reason=response.reason,
        headers=forwarded_response_headers(response),
    )
    call = attempt.call
    call.response = relayed
    await relayed.prepare(call.request)
    try:
        await _copy(attempt, reply, relayed)
    except (ClientError, HttpProcessingError, OSError) as error:
        release_frames(error)
        abort_caller_connection(call.request)
    finally:
        response.close()
    return relayed


async def buffer_response(attempt: Attempt, reply: Reply) -> web.Response:
    """Return a response with its complete body.

    Raises
    ------
    CallFault
        If the body is longer than `MAX_STORED_RESPONSE_BYTES` or breaks.
    """
    response = reply.response
    body = reply.body
    if body is None:
        body = await _read_whole(reply)
    count_link_bytes(attempt, len(body))
    headers = forwarded_response_headers(response)
    return web.Response(
        body=body,
        status=response.status,
        reason=response.reason,
        headers=headers,
    )


def abort_caller_connection(request: web.BaseRequest) -> None:
    """Abort the connection of a caller, so that its response is incomplete."""
    transport = request.transport
    if transport is not None:
        transport.abort()


def count_link_bytes(attempt: Attempt, response_size: int) -> None:
    """Count the bytes of a call if it used a paid link."""
    link_meter = attempt.endpoint.link_meter
    if link_meter is not None:
        link_meter.count(attempt.call.body.size + response_size)


async def _copy(
    attempt: Attempt,
    reply: Reply,
    relayed: web.StreamResponse,
) -> None:
    content = reply.response.content
    size = 0
    while not content.at_eof():
        part = await content.readany()
        if part:
            size += len(part)
            await relayed.write(part)
    await relayed.write_eof()
    count_link_bytes(attempt, size)


async def _read_whole(reply: Reply) -> bytes:
    content = reply.response.content
    parts: list[bytes] = []
    size = 0
    try:
        while not content.at_eof() and size <= MAX_STORED_RESPONSE_BYTES:
            parts.append(await content.readany())
            size += len(parts[-1])
    except (ClientError, HttpProcessingError, OSError) as error:
        release_frames(error)
        raise unknown(
            HTTPStatus.BAD_GATEWAY,
            'answer broke on the way',
        ) from error
    finally:
        reply.response.close()
    if size > MAX_STORED_RESPONSE_BYTES:
        raise unknown(
            HTTPStatus.BAD_GATEWAY,
            'answer is too long for a call with an idempotency key',
        )
    return b''.join(parts)

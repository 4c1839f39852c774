"""Large HTTP answers."""

from typing import Final

from aiohttp import web

PART_BYTES: Final = 65_536


async def respond_in_parts(
    request: web.BaseRequest,
    body: bytes,
    content_type: str,
) -> web.StreamResponse:
    """Send a body in parts, each once its client has read most of the former.

    Explanation
    ===========

    aiohttp would copy a whole body into the buffer of each connection.

    Parameters
    ----------
    request : web.BaseRequest
        The request.
    body : bytes
        The body, which all requests may share.
    content_type : str
        Type of the body.
    """
    response = web.StreamResponse()
    response.content_type = content_type
    response.content_length = len(body)
    await response.prepare(request)
    left = memoryview(body)
    while left:
        await response.write(left[:PART_BYTES])
        left = left[PART_BYTES:]
    await response.write_eof()
    return response

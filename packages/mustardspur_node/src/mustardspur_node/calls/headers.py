"""Headers that the node forwards in either direction."""

from aiohttp import ClientResponse, web
from multidict import CIMultiDict, MultiMapping

from mustardspur_node.calls import names


def forwarded_request_headers(
    request: web.BaseRequest,
    request_id: str,
) -> CIMultiDict[str]:
    """Return a caller's headers without those of its connection.

    Parameters
    ----------
    request : aiohttp.web.BaseRequest
        Request of the caller.
    request_id : str
        Identifier that a target echoes.
    """
    headers = _end_to_end(request.headers)
    headers.pop(names.EXPECT, None)
    headers[names.REQUEST_ID] = request_id
    return headers


def forwarded_response_headers(response: ClientResponse) -> CIMultiDict[str]:
    """Return a target's headers without those of its connection.

    The outcome header is the node's own statement, so that of a target is
    not passed on.
    """
    headers = _end_to_end(response.headers)
    headers.popall(names.OUTCOME, None)
    return headers


def _end_to_end(source: MultiMapping[str]) -> CIMultiDict[str]:
    headers = CIMultiDict(source)
    named = headers.get(names.CONNECTION)
    if named is not None:
        for listed in ','.join(headers.getall(names.CONNECTION)).split(','):
            headers.popall(listed.strip(), None)
    for name in names.HOP_BY_HOP:
        if name in headers:
            headers.popall(name)
    return headers

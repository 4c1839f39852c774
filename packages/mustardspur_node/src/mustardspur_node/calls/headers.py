"""Headers that the node forwards in both directions."""

from aiohttp import ClientResponse, web
from multidict import CIMultiDict, MultiMapping

from mustardspur_node.calls import names


def forwarded_request_headers(
    request: web.BaseRequest,
    request_id: str,
) -> CIMultiDict[str]:
    """Return the headers of a request without hop-by-hop headers.

    Parameters
    ----------
    request : aiohttp.web.BaseRequest
        Request of the caller.
    request_id : str
        Identifier of the request, which a target echoes.
    """
    headers = _end_to_end(request.headers)
    headers.pop(names.EXPECT, None)
    headers[names.REQUEST_ID] = request_id
    return headers


def forwarded_response_headers(response: ClientResponse) -> CIMultiDict[str]:
    """Return the headers of a response without hop-by-hop headers.

    The outcome header is set only by the node itself, so it is removed from
    the response of a target.
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

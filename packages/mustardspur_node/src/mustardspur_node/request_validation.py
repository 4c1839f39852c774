"""Validation of requests that two HTTP parsers could read differently."""

from typing import Final

from aiohttp import HttpVersion, HttpVersion11
from multidict import MultiMapping, istr

CONTENT_LENGTH: Final = istr('content-length')
HOST: Final = istr('host')
TRANSFER_ENCODING: Final = istr('transfer-encoding')
_REFUSED_METHODS: Final = frozenset(('CONNECT', 'TRACE'))
_DOT_SEGMENTS: Final = frozenset(('.', '..'))


def invalid_request_reason(
    method: str,
    target: str,
    version: HttpVersion,
    headers: MultiMapping[str],
) -> str:
    """Return why a request is refused, empty for a valid one.

    Explanation
    ===========

    The parser of aiohttp refuses malformed lines and chunks. This function
    checks for requests that it accepts but that a target could delimit
    differently, so that the rest of one request is read as the next one
    (request smuggling).
    """
    if method in _REFUSED_METHODS:
        return 'method is not forwarded'
    if len(headers.getall(HOST, ())) != 1:
        return 'not exactly one host header'
    if not target.startswith('/') or _has_dot_segment(target):
        return 'request target is not a plain path'
    if TRANSFER_ENCODING in headers:
        return _transfer_encoding_reason(version, headers)
    if len(headers.getall(CONTENT_LENGTH, ())) > 1:
        return 'more than one content-length header'
    return ''


def _transfer_encoding_reason(
    version: HttpVersion, headers: MultiMapping[str]
) -> str:
    encodings = headers.getall(TRANSFER_ENCODING)
    if CONTENT_LENGTH in headers:
        return 'both content-length and transfer-encoding'
    if len(encodings) > 1 or encodings[0].strip().lower() != 'chunked':
        return 'transfer-encoding other than chunked'
    if version < HttpVersion11:
        return 'transfer-encoding before HTTP/1.1'
    return ''


def _has_dot_segment(target: str) -> bool:
    """Return whether a path could resolve to a path of another route."""
    if '/.' not in target and '/%2' not in target:
        return False
    path = target.partition('?')[0].lower().replace('%2e', '.')
    return not _DOT_SEGMENTS.isdisjoint(path.replace('%2f', '/').split('/'))

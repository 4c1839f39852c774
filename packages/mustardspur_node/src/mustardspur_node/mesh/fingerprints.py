"""Fingerprints that tell whether two calls are the same call again."""

import hashlib
from collections.abc import Iterable
from typing import Final

from mustardspur_node.mesh.names import HeaderNames

FINGERPRINT_BYTES: Final = 16


def call_fingerprint(
    names: HeaderNames,
    method: str,
    path: str,
    headers: Iterable[list[str]],
    body: bytes,
) -> bytes:
    """Return a fingerprint that all attempts of the same call share.

    It covers the host, method, path with query, body and the service on whose
    instance the call started; identifiers and deadlines differ by attempt.

    Parameters
    ----------
    headers : iterable of list of str
        Names and values; the origin service must have been added.
    """
    named = {name.lower(): text for name, text in headers}
    digest = hashlib.blake2b(body, digest_size=FINGERPRINT_BYTES)
    for text in (
        method,
        path,
        named.get('host', ''),
        named.get(names.origin_service.lower(), ''),
    ):
        encoded = text.encode('utf-8', 'surrogateescape')
        digest.update(b'%d:%s' % (len(encoded), encoded))
    return digest.digest()

"""Keys of client accounts."""

import hashlib
from typing import Final

# A digest of 16 bytes; keys are drawn at random, so no salt is needed.
_DIGEST_BYTES: Final = 16


def key_digest(key: str) -> str:
    """Return the digest under which the key of an account is stored.

    Nodes store digests only, so that no key can be read from their memory,
    logs or messages.
    """
    # Headers that are not UTF-8, and JSON escapes, contain lone surrogates.
    encoded = key.encode('utf-8', 'surrogatepass')
    return hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES).hexdigest()

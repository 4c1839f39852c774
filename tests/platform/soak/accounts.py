"""Client accounts of a soak, and the keys that their callers send.

Limits of accounts belong into `accounts`; a caller that exceeds one belongs
beside the choice of keys in `key_of`.
"""

from types import MappingProxyType
from typing import Any, Final

# Key that a fault withdraws; its account keeps another one.
WITHDRAWN_KEY: Final = 'secret-harbour-2'
_ACCOUNT_BY_KEY: Final = MappingProxyType(
    {
        'secret-harbour-1': 'harbour',
        WITHDRAWN_KEY: 'harbour',
        'secret-market-1': 'market',
    },
)
KEYS: Final = tuple(_ACCOUNT_BY_KEY)


def key_of(request_id: str) -> str:
    """Return the key of a request; callers use the keys in turn."""
    number = int(request_id.rpartition('-')[2])
    return KEYS[number % len(KEYS)]


def account_of(request_id: str) -> str:
    """Return the account of a request."""
    return _ACCOUNT_BY_KEY[key_of(request_id)]


def accounts(*, withdrawn: bool) -> dict[str, Any]:
    """Return the accounts of a configuration."""
    documents: dict[str, Any] = {}
    for key, account in _ACCOUNT_BY_KEY.items():
        keys = documents.setdefault(account, {'api_keys': []})['api_keys']
        if not (withdrawn and key == WITHDRAWN_KEY):
            keys.append(key)
    return documents

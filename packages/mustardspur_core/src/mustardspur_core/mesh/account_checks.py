"""Validation of the client accounts of a routing table."""

import math
from collections.abc import Iterator
from typing import Final

from mustardspur_core.findings import Finding
from mustardspur_core.mesh.model import ClientAccount, RoutingTable

# The rank of a call adds three times this to the priority of its route, and
# ranks of 1000 and more are those of late calls.
MAX_PRIORITY: Final = 300


def account_findings(table: RoutingTable) -> Iterator[Finding]:
    """Yield the findings on the accounts; no finding contains a key."""
    for account in table.accounts.values():
        yield from _limit_findings(account, _path(account))
    yield from _shared_key_findings(table)


def _limit_findings(account: ClientAccount, path: str) -> Iterator[Finding]:
    # The name is sent to targets as a header.
    if not account.name.isprintable() or not account.name.strip():
        yield _finding(path, 'a printable name', repr(account.name))
    priority = account.priority or 0
    if priority < 0 or priority > MAX_PRIORITY:
        yield _finding(f'{path}.priority', f'0 to {MAX_PRIORITY}', priority)
    if not _is_limit(account.rate_per_s):
        yield _finding(f'{path}.rate', 'at least 0', account.rate_per_s)
    if not _is_limit(account.burst):
        yield _finding(f'{path}.burst', 'at least 0', account.burst)


def _shared_key_findings(table: RoutingTable) -> Iterator[Finding]:
    """Yield a finding for each key that two accounts have.

    It names the places of the key by account and number of the key.
    """
    place_by_digest: dict[str, tuple[str, str]] = {}
    for account in table.accounts.values():
        for number, digest in enumerate(account.key_digests):
            place = f'{_path(account)}.keys.{number}'
            known = place_by_digest.setdefault(digest, (account.name, place))
            if known[0] != account.name:
                yield _finding(place, 'a key of one account', known[1])


def _is_limit(number: float) -> bool:
    return math.isfinite(number) and number >= 0


def _path(account: ClientAccount) -> str:
    return f'accounts.{account.name}'


def _finding(path: str, expected: str, found: object) -> Finding:
    return Finding(
        source='routing table',
        path=path,
        expected=expected,
        found=str(found),
    )

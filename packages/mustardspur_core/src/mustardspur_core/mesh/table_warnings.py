"""Warnings on a valid routing table: entries without effect, and conflicts.

A table with warnings is accepted. `check_table` finds the errors for which a
table is refused.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import Final

from mustardspur_core.findings import Finding
from mustardspur_core.mesh.model import ClientAccount, MeshRoute, RoutingTable

_Check = Callable[[RoutingTable], Iterable[Finding]]
_checks: Final[list[_Check]] = []


def table_warning(check: _Check) -> _Check:
    """Register a function that yields warnings on a table."""
    _checks.append(check)
    return check


def table_warnings(table: RoutingTable) -> list[Finding]:
    """Return all warnings on a table, by check and then by entry."""
    return [finding for check in _checks for finding in check(table)]


@table_warning
def shadowed_routes(table: RoutingTable) -> Iterator[Finding]:
    """Yield the routes that no call matches, since another one matches it.

    Of the routes with one host and prefix, only the last one is used.
    """
    last_by_match = {_match(route): route for route in table.routes.values()}
    for route in table.routes.values():
        used = last_by_match[_match(route)]
        if used is not route:
            yield _warning(
                f'routes.{route.name}',
                'a host and path prefix of its own',
                f'those of route {used.name}, which gets the calls',
            )
        if ':' in route.host:
            yield _warning(
                f'routes.{route.name}.host',
                'a host without a port',
                f'{route.host}, which no call matches',
            )


@table_warning
def unused_weights(table: RoutingTable) -> Iterator[Finding]:
    """Yield the services of a route that get none of its calls."""
    for route in table.routes.values():
        for share in route.shares:
            if not share.weight:
                yield _warning(
                    f'routes.{route.name}.shares.{share.service}',
                    'a weight above 0',
                    '0, so the service gets no call of the route',
                )


@table_warning
def unused_services(table: RoutingTable) -> Iterator[Finding]:
    """Yield the services that no route sends calls to."""
    used = {
        share.service
        for route in table.routes.values()
        for share in route.shares
        if share.weight
    }
    for name in table.services:
        if name not in used:
            yield _warning(
                f'services.{name}',
                'a route with a weight above 0 for it',
                'none',
            )


@table_warning
def objectives_above_timeouts(table: RoutingTable) -> Iterator[Finding]:
    """Yield the routes that end calls which could still be in time."""
    for route in table.routes.values():
        objective, timeout = map(
            _duration, (route.objective_ms, route.timeout_ms)
        )
        if route.objective_ms > route.timeout_ms:
            yield _warning(
                f'routes.{route.name}.objective',
                f'at most the timeout of {timeout}',
                objective,
            )


@table_warning
def unusable_accounts(table: RoutingTable) -> Iterator[Finding]:
    """Yield the accounts whose callers or limits have no effect."""
    for account in table.accounts.values():
        path = f'accounts.{account.name}'
        if not account.key_digests:
            yield _warning(path, 'a key', 'none, so no caller can use it')
        if account.burst and not account.rate_per_s:
            yield _warning(
                f'{path}.burst',
                'a rate beside the burst',
                'no rate, so the account has no limit',
            )
        if account.rate_per_s and account.burst < 1:
            yield _warning(
                f'{path}.burst',
                'at least 1 beside a rate',
                'less, so a single call can be refused',
            )


@table_warning
def closed_routes(table: RoutingTable) -> Iterator[Finding]:
    """Yield the table itself if it requires keys and has no account."""
    if table.requires_keys and not table.accounts:
        yield _warning(
            'accounts',
            'an account, since calls need a key',
            'none, so only public routes accept calls',
        )


@table_warning
def conflicting_homes(table: RoutingTable) -> Iterator[Finding]:
    """Yield the routes that no target may serve for an account."""
    for account in table.accounts.values():
        for route in table.routes.values():
            if not route.public and _exclude_each_other(account, route):
                allowed = ', '.join(route.home_regions)
                yield _warning(
                    f'accounts.{account.name}.home_regions',
                    f'a region of route {route.name}: {allowed}',
                    'none of them, so its calls on the route are refused',
                )


def _exclude_each_other(account: ClientAccount, route: MeshRoute) -> bool:
    if not account.home_regions or not route.home_regions:
        return False
    return not set(account.home_regions) & set(route.home_regions)


def _duration(duration_ms: float) -> str:
    shown = format(duration_ms, 'g')
    return f'{shown} ms'


def _match(route: MeshRoute) -> tuple[str, str]:
    return route.host.lower(), route.path_prefix


def _warning(path: str, expected: str, found: str) -> Finding:
    return Finding(
        source='routing table',
        path=path,
        expected=expected,
        found=found,
    )

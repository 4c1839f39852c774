"""Validation of a routing table."""

from collections.abc import Iterator

from mustardspur_core.findings import Finding
from mustardspur_core.mesh.account_checks import account_findings
from mustardspur_core.mesh.model import MeshRoute, RoutingTable

# A longer timeout indicates a mistake in the unit.
MAX_TIMEOUT_MS = 600_000.0
# An objective far above the timeout has no effect.
MAX_OBJECTIVE_EXCESS_MS = 60_000.0


def check_table(table: RoutingTable) -> list[Finding]:
    """Return the findings on a table, an empty list for a valid one."""
    findings = [
        finding
        for route in table.routes.values()
        for finding in _route_findings(table, route)
    ]
    findings.extend(account_findings(table))
    return findings


def _route_findings(
    table: RoutingTable,
    route: MeshRoute,
) -> Iterator[Finding]:
    path = f'routes.{route.name}'
    yield from _share_findings(table, route, path)
    if route.timeout_ms > MAX_TIMEOUT_MS or route.timeout_ms < 0:
        yield _finding(f'{path}.timeout', '0 to 600 s', route.timeout_ms)
    if route.objective_ms >= route.timeout_ms + MAX_OBJECTIVE_EXCESS_MS:
        yield _finding(
            f'{path}.objective',
            'less than 60 s above the timeout',
            route.objective_ms,
        )
    if route.max_attempts < 1:
        yield _finding(f'{path}.attempts', 'at least 1', route.max_attempts)
    prefix = route.path_prefix
    if not prefix.startswith('/') or not prefix.endswith('/'):
        yield _finding(f'{path}.path_prefix', '/ at both ends', prefix)


def _share_findings(
    table: RoutingTable,
    route: MeshRoute,
    path: str,
) -> Iterator[Finding]:
    for share in route.shares:
        if share.service not in table.services:
            yield _finding(
                f'{path}.service', 'a service of the table', share.service
            )
        if share.weight < 0:
            yield _finding(f'{path}.weight', 'at least 0', share.weight)
    if not route.shares or not any(part.weight for part in route.shares):
        yield _finding(path, 'a service with a weight above 0', 'none')


def _finding(path: str, expected: str, found: object) -> Finding:
    return Finding(
        source='routing table',
        path=path,
        expected=expected,
        found=str(found),
    )

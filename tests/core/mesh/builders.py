"""Tables and targets for the tests of a mesh."""

from typing import Any

from mustardspur_core.mesh import (
    CallerLimits,
    ClientAccount,
    MeshRoute,
    MeshTarget,
    RouteShare,
    RoutingTable,
    ServiceRule,
)
from mustardspur_core.mesh.accounts import key_digest
from mustardspur_core.settings import MeshSettings

LIMITS = CallerLimits(
    header_bytes=4096,
    body_bytes=10_000,
    header_timeout_ms=500.0,
    idle_timeout_ms=2000.0,
)


def route(name: str, **changes: Any) -> MeshRoute:
    """Return an idempotent route to ``forms`` with some fields changed."""
    fields: dict[str, Any] = {
        'name': name,
        'host': 'forms.example',
        'path_prefix': f'/{name}/',
        'idempotent': True,
        'timeout_ms': 1000.0,
        'objective_ms': 300.0,
        'priority': 1,
        'max_attempts': 2,
        'shares': [RouteShare(service='forms', weight=100.0)],
        'home_regions': [],
        'public': False,
        'upload': False,
    }
    return MeshRoute(**(fields | changes))


def table(number: int, *routes: MeshRoute) -> RoutingTable:
    """Return a table with two services."""
    return RoutingTable(
        number=number,
        routes={each.name: each for each in routes},
        services={
            name: ServiceRule(
                name=name,
                health_path='/healthz',
                max_connections=100,
                cold_ms=0,
                cold_per_s=0,
            )
            for name in ('forms', 'stamps')
        },
        limits=LIMITS,
        accounts={},
        closed_without_accounts=False,
    )


def target(name: str, **changes: Any) -> MeshTarget:
    """Return a ready target of ``forms`` with some fields changed."""
    fields: dict[str, Any] = {
        'id': name,
        'service': 'forms',
        'version': 'v1',
        'node': f'127.0.0.1:{name}',
        'data_centre': 'split-a',
        'region': 'dalmacija',
        'slots': 4,
        'state': 'ready',
        'cold_ms': 0,
        'incarnation': 1,
        'sequence': 1,
    }
    return MeshTarget(**(fields | changes))


def mesh_settings() -> MeshSettings:
    """Return mesh settings with typical limits."""
    return MeshSettings(
        seeds=[],
        first_start=False,
        target_address=None,
        grace_s=6.0,
        contact_s=3.0,
        retry_ratio=0.2,
        retry_slack=60,
        retry_window_s=10.0,
        exposure_share=0.1,
        data_centres={},
        limit_window_s=5.0,
        limit_tolerance=0.1,
        limit_slack=20.0,
        link_mbps=0,
        memory_mb=300,
        max_descriptors=0,
        reserved_descriptors=0,
        max_table_bytes=8_388_608,
        balancing='least_expected',
        silent_target_s=0,
    )


def account(name: str, *keys: str, **changes: Any) -> ClientAccount:
    """Return an account without a limit, with some fields changed."""
    fields: dict[str, Any] = {
        'name': name,
        'key_digests': [key_digest(key) for key in keys],
        'priority': None,
        'rate_per_s': 0,
        'burst': 0,
        'home_regions': [],
    }
    return ClientAccount(**(fields | changes))

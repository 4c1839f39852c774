"""Views, settings and outcome sinks for tests of call forwarding."""

from typing import Any, Final

from mustardspur_core.profile import parse_profile
from mustardspur_core.settings import Settings, parse_settings
from mustardspur_core.state import Move, ServiceConfig, Target
from mustardspur_node.views import ServiceView

# Fields: name, path prefix, methods, call class, retry policy, idempotent.
LENS_ROUTES: Final = (
    ('stock', '/stock', ['GET'], 'quick', 'fetch', True),
    ('prescriptions', '/prescriptions', ['POST'], 'bulk', 'once', False),
    ('batches', '/batches', ['GET'], 'bulk', 'fetch', True),
    ('boxes', '/boxes', ['POST'], 'bulk', 'once', False),
)


def make_settings(service: str = 'lens-bench', **changes: Any) -> Settings:
    """Return the settings of a node in erie-toledo."""
    document = {
        'role': 'node',
        'id': 'n1',
        'data_centre': 'erie-toledo',
        'region': 'erie',
        'listen': {'http': '127.0.0.1:0'},
        'control': ['127.0.0.1:1'],
        'service': service,
    }
    return parse_settings(document | changes, 'n1.json').ok


def make_target(address: str, **changes: Any) -> Target:
    """Return a ready target in the node's data centre."""
    fields: dict[str, Any] = {
        'id': f't-{address}',
        'service': 'lens-bench',
        'version': '1',
        'address': address,
        'incarnation': 1,
        'slots': 9,
        'state': 'ready',
        'node': f'n-{address}',
        'data_centre': 'erie-toledo',
        'region': 'erie',
    }
    return Target(**(fields | changes))


def make_view(
    targets: list[Target],
    moves: list[Move] | None = None,
    cut_off_moves: list[str] | None = None,
    **changes: Any,
) -> ServiceView:
    """Return a view; `changes` override fields of the profile."""
    document = _profile_document() | changes
    profile = parse_profile(document, 'p.json', 0).ok
    targets_by_version: dict[str, list[Target]] = {
        target_set.version: [] for target_set in profile.target_sets.values()
    }
    for move in moves or []:
        targets_by_version.setdefault(move.from_version, [])
    for target in targets:
        targets_by_version.setdefault(target.version, []).append(target)
    return ServiceView(
        config=ServiceConfig(
            service='lens-bench',
            index=1,
            number=1,
            profile=profile,
            moves=moves or [],
        ),
        targets_by_version=targets_by_version,
        cut_off_moves=cut_off_moves or [],
    )


class Views:
    """A `ViewSource` with views set by tests."""

    def __init__(self, **views: ServiceView) -> None:
        """Initialise from views by service, with ``_`` for ``-``."""
        self.views_by_service = {
            name.replace('_', '-'): view for name, view in views.items()
        }

    def view(self, service: str) -> ServiceView | None:
        """Return the view of a service, None if none is set."""
        return self.views_by_service.get(service)


class Outcomes:
    """An `OutcomeSink` that stores the outcomes."""

    def __init__(self) -> None:
        """Initialise without outcomes."""
        self.rows: list[tuple[str, str, str]] = []
        self.callers: list[str] = []

    def record_outcome(
        self,
        view: ServiceView,
        route: str,
        target: Target,
        outcome: str,
        latency_ms: float,
        caller: str = '',
    ) -> None:
        """Store route, version, outcome and caller."""
        self.rows.append((route, target.version, outcome))
        self.callers.append(caller)


def _profile_document() -> dict[str, Any]:
    return {
        'name': 'standard',
        'target_sets': {'stable': {'version': '1'}},
        'call_classes': {
            'quick': _class(priority=0, limit=9, queue=50),
            'bulk': _class(priority=1, limit=5, queue=100),
        },
        'retries': {
            'fetch': _retry(attempts=3, ratio=0.1),
            'once': _retry(attempts=1, ratio=0),
        },
        'routes': [make_route(*fields) for fields in LENS_ROUTES],
        'move': {
            'within_s': 600,
            'first_share': 0.02,
            'unjudged': 'take_back',
            'weighing': 'control_bytes',
        },
    }


def make_route(
    name: str,
    prefix: str,
    methods: list[str],
    call_class: str,
    retry: str,
    idempotent: bool,
    **changes: Any,
) -> dict[str, Any]:
    """Return the document of a route."""
    return {
        'name': name,
        'path_prefix': prefix,
        'methods': methods,
        'headers': {},
        'weights': {'stable': 100},
        'call_class': call_class,
        'retry': retry,
        'idempotent': idempotent,
        'timeout_ms': 2000,
    } | changes


def _class(priority: int, limit: int, queue: int) -> dict[str, int]:
    return {
        'priority': priority,
        'max_in_flight_per_target': limit,
        'queue_limit': queue,
    }


def _retry(attempts: int, ratio: float) -> dict[str, Any]:
    return {
        'attempts': attempts,
        'budget_ratio': ratio,
        'hedge_after_ms': 0,
    }

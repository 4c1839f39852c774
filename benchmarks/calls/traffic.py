"""Traffic of the two users and the profile of the nodes that serve it."""

from types import MappingProxyType
from typing import Any, Final

from mustardspur_core.profile import parse_profile
from mustardspur_core.record import Record
from mustardspur_core.state import ServiceConfig, Target
from mustardspur_node.views import ServiceView

SERVICE: Final = 'bench'
TIMEOUT_MS: Final = 1000


class CallKind(Record):
    """One kind of call of a user.

    Parameters
    ----------
    name, method, path : str
        Route of the call.
    weight : int
        Share of the user's calls, in percent.
    work_ms : float
        Time that a target needs for it.
    quick : bool
        Whether it belongs to the quick class.
    """

    __slots__ = ('name', 'method', 'path', 'weight', 'work_ms', 'quick')
    name: str
    method: str
    path: str
    weight: int
    work_ms: float
    quick: bool


def _kind(
    name: str,
    method: str,
    weight: int,
    work_ms: float,
    *,
    quick: bool = False,
) -> CallKind:
    return CallKind(
        name=name,
        method=method,
        path=f'/{name}',
        weight=weight,
        work_ms=work_ms,
        quick=quick,
    )


KINDS_BY_USER: Final = MappingProxyType(
    {
        'cooperative': [
            _kind('stock', 'GET', 45, 12, quick=True),
            _kind('batches', 'GET', 25, 45),
            _kind('boxes', 'POST', 20, 60),
            _kind('prescriptions', 'POST', 10, 60),
        ],
        'obrazac': [
            _kind('addresses', 'GET', 35, 12, quick=True),
            _kind('drafts', 'GET', 35, 45),
            _kind('filings', 'POST', 20, 75),
            _kind('fees', 'POST', 10, 45),
        ],
    }
)


def all_kinds() -> list[CallKind]:
    """Return the calls of both users."""
    return [kind for kinds in KINDS_BY_USER.values() for kind in kinds]


def work_ms_of(kinds: list[CallKind]) -> float:
    """Return the mean work of a call, in milliseconds."""
    total = sum(kind.weight for kind in kinds)
    return sum(kind.weight * kind.work_ms for kind in kinds) / total


def make_view(
    service: str,
    targets: list[dict[str, Any]],
    attempts: int = 3,
) -> ServiceView:
    """Return a view of a service with targets given by address and slots."""
    profile = parse_profile(_profile_document(attempts), 'bench', 0).ok
    config = ServiceConfig(
        service=service,
        index=1,
        number=1,
        profile=profile,
        moves=[],
    )
    ready = [_target(service, fields) for fields in targets]
    return ServiceView(
        config=config,
        targets_by_version={'1': ready},
        cut_off_moves=[],
    )


def _target(service: str, fields: dict[str, Any]) -> Target:
    address = fields['address']
    return Target(
        id=address,
        service=service,
        version='1',
        address=address,
        incarnation=1,
        slots=fields['slots'],
        state='ready',
        node=address,
        data_centre='erie-toledo',
        region='erie',
    )


def _profile_document(attempts: int) -> dict[str, Any]:
    return {
        'name': 'bench',
        'target_sets': {'stable': {'version': '1'}},
        'call_classes': {
            'quick': _call_class(0, 64),
            'bulk': _call_class(1, 64),
        },
        'retries': {
            'fetch': _retry(attempts, 0.1),
            'once': _retry(attempts, 0.1),
        },
        'routes': [
            *(_route(kind) for kind in all_kinds()),
            _route(_kind('chain', 'GET', 1, 0)),
            _route(_kind('empty', 'GET', 1, 0, quick=True)),
        ],
        'move': {
            'within_s': 600,
            'first_share': 0.02,
            'unjudged': 'take_back',
            'weighing': 'control_bytes',
        },
    }


def _route(kind: CallKind) -> dict[str, Any]:
    safe = kind.method == 'GET'
    return {
        'name': kind.name,
        'path_prefix': kind.path,
        'methods': [kind.method],
        'headers': {},
        'weights': {'stable': 100},
        'call_class': 'quick' if kind.quick else 'bulk',
        'retry': 'fetch' if safe else 'once',
        'idempotent': safe,
        'timeout_ms': TIMEOUT_MS,
    }


def _call_class(priority: int, limit: int) -> dict[str, int]:
    return {
        'priority': priority,
        'max_in_flight_per_target': limit,
        'queue_limit': 100,
    }


def _retry(attempts: int, ratio: float) -> dict[str, Any]:
    return {
        'attempts': attempts,
        'budget_ratio': ratio,
        'hedge_after_ms': 0,
    }

"""Routing table, targets and transfers of a mesh."""

from enum import StrEnum
from typing import Final

from mustardspur_core.record import Record


class RouteShare(Record):
    """Part of a route's calls that goes to a service.

    Parameters
    ----------
    weight : float
        Relative to the sum over the route's shares.
    """

    __slots__ = ('service', 'weight')
    service: str
    weight: float


class MeshRoute(Record):
    """Calls to a host below a path.

    Parameters
    ----------
    idempotent : bool
        Whether a call may run more than once.
    timeout_ms : float
        Longest time that a caller is kept waiting.
    objective_ms : float
        Latency within which an answer has its full value.
    priority : int
        Rank, 0 is served first.
    max_attempts : int
        Targets to which one call may be sent.
    """

    __slots__ = (
        'name',
        'host',
        'path_prefix',
        'idempotent',
        'timeout_ms',
        'objective_ms',
        'priority',
        'max_attempts',
        'shares',
    )
    name: str
    host: str
    path_prefix: str
    idempotent: bool
    timeout_ms: float
    objective_ms: float
    priority: int
    max_attempts: int
    shares: list[RouteShare]


class ServiceRule(Record):
    """What the operators state about a service.

    Parameters
    ----------
    max_connections : int
        Connections that a target of the service takes from all callers.
    """

    __slots__ = ('name', 'health_path', 'max_connections')
    name: str
    health_path: str
    max_connections: int


class CallerLimits(Record):
    """Bounds of what a caller may send and how long it may take."""

    __slots__ = (
        'header_bytes',
        'body_bytes',
        'header_timeout_ms',
        'idle_timeout_ms',
    )
    header_bytes: int
    body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


# Bounds for callers of a node that has no table yet.
_HEADER_BYTES: Final = 16_384
_BODY_BYTES: Final = 67_108_864
_HEADER_TIMEOUT_MS: Final = 3000
_IDLE_TIMEOUT_MS: Final = 15_000
DEFAULT_LIMITS: Final = CallerLimits(
    header_bytes=_HEADER_BYTES,
    body_bytes=_BODY_BYTES,
    header_timeout_ms=_HEADER_TIMEOUT_MS,
    idle_timeout_ms=_IDLE_TIMEOUT_MS,
)


class RoutingTable(Record):
    """All routes and services, agreed as one document with one number."""

    __slots__ = ('number', 'routes', 'services', 'limits')
    number: int
    routes: dict[str, MeshRoute]
    services: dict[str, ServiceRule]
    limits: CallerLimits


class TargetState(StrEnum):
    """What a target says of itself."""

    READY = 'ready'
    DRAINING = 'draining'


class MeshTarget(Record):
    """A target and the node beside it, as the other nodes see them.

    Parameters
    ----------
    id : str
        Identity of the target, empty for a node without one.
    node : str
        ``ip:port`` of the stream of the node beside it.
    incarnation, sequence : int
        Start of the node and number of its announcement; the highest pair
        of a node is the newest.
    cold_ms : float
        Time for which the target stays slow after its start.
    """

    __slots__ = (
        'id',
        'service',
        'version',
        'node',
        'data_centre',
        'region',
        'slots',
        'state',
        'cold_ms',
        'incarnation',
        'sequence',
    )
    id: str
    service: str
    version: str
    node: str
    data_centre: str
    region: str
    slots: int
    state: str
    cold_ms: float
    incarnation: int
    sequence: int


class TransferState(StrEnum):
    """State of a transfer."""

    RUNNING = 'running'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled_back'


class Transfer(Record):
    """A move of a service's calls to targets of another version.

    Parameters
    ----------
    from_version : str
        Version that has the rest of the calls, empty if not known.
    duration_ms : float
        Time within which it is to be completed or rolled back.
    share : float
        Part of the calls for the new version, 0 to 1.
    elapsed_ms : float
        Time since the order at the latest step.
    step : int
        Number of the latest step, 0 at the start.
    """

    __slots__ = (
        'service',
        'version',
        'from_version',
        'duration_ms',
        'state',
        'share',
        'elapsed_ms',
        'step',
    )
    service: str
    version: str
    from_version: str
    duration_ms: float
    state: str
    share: float
    elapsed_ms: float
    step: int

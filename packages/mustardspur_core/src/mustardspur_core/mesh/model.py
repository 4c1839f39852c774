"""Routing table, targets and transfers of a mesh."""

from enum import StrEnum
from types import MappingProxyType
from typing import ClassVar, Final

from mustardspur_core.record import Defaults, Record


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
    """Route of the calls to a host and path prefix.

    Parameters
    ----------
    idempotent : bool
        Whether a call may run more than once.
    timeout_ms : float
        Time within which a caller is answered.
    objective_ms : float
        Latency objective; slower answers lose value.
    priority : int
        Priority, 0 is the highest.
    max_attempts : int
        Number of targets to which one call may be sent.
    home_regions : list of str
        Regions in which the calls may be served, empty for all.
    public : bool
        Whether calls need no key of a client account.
    upload : bool
        Whether the calls have large bodies.
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
        'home_regions',
        'public',
        'upload',
    )
    optional: ClassVar[Defaults] = MappingProxyType(
        {'home_regions': list, 'public': bool, 'upload': bool},
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
    home_regions: list[str]
    public: bool
    upload: bool


class ServiceRule(Record):
    """Configuration of a service.

    Parameters
    ----------
    max_connections : int
        Maximum number of connections to a target from all callers.
    cold_ms : float
        Time for which a target is cold after its start.
    cold_per_s : float
        Calls a second that a cold target accepts from all nodes together, 0
        without a limit.
    """

    __slots__ = (
        'name',
        'health_path',
        'max_connections',
        'cold_ms',
        'cold_per_s',
    )
    optional: ClassVar[Defaults] = MappingProxyType(
        {'cold_ms': float, 'cold_per_s': float},
    )
    name: str
    health_path: str
    max_connections: int
    cold_ms: float
    cold_per_s: float


class CallerLimits(Record):
    """Limits on the size and duration of requests of callers."""

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


# Limits of a node that has no table yet.
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


class ClientAccount(Record):
    """Client account whose keys callers present.

    Parameters
    ----------
    key_digests : list of str
        Digests of the keys, as `key_digest` returns them.
    priority : int or None
        Priority of the account's calls, 0 is the highest; it goes before the
        priority of the route. None for none.
    rate_per_s, burst : float
        Rate limit over all nodes together; no limit if the rate is 0.
    home_regions : list of str
        Regions in which the calls may be served, empty for all.
    """

    __slots__ = (
        'name',
        'key_digests',
        'priority',
        'rate_per_s',
        'burst',
        'home_regions',
    )
    name: str
    key_digests: list[str]
    priority: int | None
    rate_per_s: float
    burst: float
    home_regions: list[str]


class RoutingTable(Record):
    """Routes, services and accounts, versioned as a whole by a number.

    Parameters
    ----------
    closed_without_accounts : bool
        Whether calls need a key although the table has no account, so that no
        key opens a route. A table with accounts always requires keys.
    """

    __slots__ = (
        'number',
        'routes',
        'services',
        'limits',
        'accounts',
        'closed_without_accounts',
    )
    optional: ClassVar[Defaults] = MappingProxyType(
        {'accounts': dict, 'closed_without_accounts': bool},
    )
    number: int
    routes: dict[str, MeshRoute]
    services: dict[str, ServiceRule]
    limits: CallerLimits
    accounts: dict[str, ClientAccount]
    closed_without_accounts: bool

    @property
    def requires_keys(self) -> bool:
        """Whether calls on routes that are not public need a key."""
        return self.closed_without_accounts or bool(self.accounts)


class MeshTargetState(StrEnum):
    """State that a target reports."""

    READY = 'ready'
    DRAINING = 'draining'


class MeshTarget(Record):
    """Registration of a node and its target.

    Parameters
    ----------
    id : str
        Identifier of the target, empty for a node without one.
    node : str
        Stream address of the node, ``ip:port``.
    slots : int
        Maximum number of concurrent calls to the target.
    cold_ms : float
        Warm-up time after the start of the target, in which it is slow.
    incarnation, sequence : int
        Incarnation of the node and number of its announcement; the highest
        pair of a node is the newest.
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
    """Gradual move of the calls of a service to another version.

    Parameters
    ----------
    from_version : str
        Version that receives the remaining calls, empty if unknown.
    duration_ms : float
        Time within which the transfer completes or is rolled back.
    share : float
        Part of the calls for the new version, 0 to 1.
    elapsed_ms : float
        Time from the order to the latest step.
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

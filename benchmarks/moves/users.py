"""Assumed load of the two users.

A server at peak receives 82 calls a second (230,000 calls a second over 2,800
servers at the design size). Each server has one target of the old and, in a
move, one of the new version. The calls of a data centre enter through one
node of that data centre, which reports for all of them.
"""

from typing import Final

from mustardspur_core.profile import MovePolicy, Route
from mustardspur_core.record import Record

CALLS_PER_SERVER_S: Final = 82.0
SLOTS_PER_TARGET: Final = 9


class RouteLoad(Record):
    """A route, its share of the calls and its median latency."""

    __slots__ = ('name', 'share', 'median_ms')
    name: str
    share: float
    median_ms: float


class UserLoad(Record):
    """One service of a user.

    Parameters
    ----------
    name, service : str
        Names of the user and of its service.
    policy : MovePolicy
        Policy of the profile that the service follows.
    servers : dict of int
        Number of servers by data centre.
    regions : dict of str
        Region by data centre.
    routes : list of RouteLoad
        Routes with their shares of the calls.
    callers : dict of float
        Share of the calls by caller organisation.
    """

    __slots__ = (
        'name',
        'service',
        'policy',
        'servers',
        'regions',
        'routes',
        'callers',
    )
    name: str
    service: str
    policy: MovePolicy
    servers: dict[str, int]
    regions: dict[str, str]
    routes: list[RouteLoad]
    callers: dict[str, float]


def _policy(within_s: float, weighing: str) -> MovePolicy:
    return MovePolicy(
        within_s=within_s,
        by=None,
        first_share=0.02,
        unjudged='take_back',
        weighing=weighing,
    )


COOPERATIVE: Final = UserLoad(
    name='cooperative',
    service='intake',
    policy=_policy(300, 'control_bytes'),
    servers={
        'erie-toledo': 3,
        'erie-cleveland': 2,
        'mich-milwaukee': 2,
        'mich-gary': 1,
    },
    regions={
        'erie-toledo': 'erie',
        'erie-cleveland': 'erie',
        'mich-milwaukee': 'michigan',
        'mich-gary': 'michigan',
    },
    routes=[
        RouteLoad(name='batches', share=0.75, median_ms=12),
        RouteLoad(name='boxes', share=0.25, median_ms=25),
    ],
    callers={'drop-sites': 0.8, 'clinics': 0.2},
)
OBRAZAC: Final = UserLoad(
    name='obrazac',
    service='forms',
    policy=_policy(180, 'convergence_time'),
    servers={'split-a': 2, 'zadar-a': 2, 'osijek-a': 2, 'vukovar-a': 1},
    regions={
        'split-a': 'dalmacija',
        'zadar-a': 'dalmacija',
        'osijek-a': 'slavonija',
        'vukovar-a': 'slavonija',
    },
    routes=[
        RouteLoad(name='drafts', share=0.6, median_ms=15),
        RouteLoad(name='addresses', share=0.4, median_ms=6),
    ],
    callers={'stalls': 0.85, 'town-halls': 0.15},
)
USERS: Final = (COOPERATIVE, OBRAZAC)


def route_of(load: RouteLoad) -> Route:
    """Return the route of the profile."""
    return Route(
        name=load.name,
        path_prefix=f'/{load.name}',
        methods=['GET'],
        headers={},
        weights={'stable': 100},
        call_class='quick',
        retry='once',
        idempotent=False,
        timeout_ms=500,
    )

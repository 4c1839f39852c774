"""Traffic cells: one for each target, route and caller organisation."""

from collections.abc import Iterator
from itertools import product
from typing import Final

from mustardspur_core.record import Record
from mustardspur_core.state import Target, TargetState

from benchmarks.moves.users import (
    CALLS_PER_SERVER_S,
    SLOTS_PER_TARGET,
    UserLoad,
)

OLD_VERSION: Final = '1.0.0'
NEW_VERSION: Final = '1.1.0'


class TrafficCell(Record):
    """Calls of one caller organisation on one route at one target.

    Parameters
    ----------
    target : Target
        The target.
    is_new : bool
        Whether it runs the new version.
    server, centre, route, caller : int
        Indexes in the lists of the user's load.
    route_name, caller_name : str
        Names for the reports.
    rate : float
        Calls per second at peak if the version gets all traffic.
    median_ms : float
        Median latency of an idle target.
    """

    __slots__ = (
        'target',
        'is_new',
        'server',
        'centre',
        'route',
        'caller',
        'route_name',
        'caller_name',
        'rate',
        'median_ms',
    )
    target: Target
    is_new: bool
    server: int
    centre: int
    route: int
    caller: int
    route_name: str
    caller_name: str
    rate: float
    median_ms: float


def cells_of(user: UserLoad) -> list[TrafficCell]:
    """Return all traffic cells; each server has a target of each version."""
    return [
        _cell(user, target, server, indexes)
        for server, target in _targets(user)
        for indexes in product(
            range(len(user.routes)), range(len(user.callers))
        )
    ]


def usual_calls(user: UserLoad, rate: float, length_s: float) -> float:
    """Return the number of calls of a move at the usual rate."""
    servers = sum(user.servers.values())
    return servers * CALLS_PER_SERVER_S * rate * length_s


def _targets(user: UserLoad) -> Iterator[tuple[int, Target]]:
    data_centres = [
        centre
        for centre, servers in user.servers.items()
        for _ in range(servers)
    ]
    for server, centre in enumerate(data_centres):
        for version in (OLD_VERSION, NEW_VERSION):
            yield server, _target(user, server, centre, version)


def _target(
    user: UserLoad,
    server: int,
    centre: str,
    version: str,
) -> Target:
    return Target(
        id=f'{user.service}-{server}-{version}',
        service=user.service,
        version=version,
        address='127.0.0.1:8000',
        incarnation=1,
        slots=SLOTS_PER_TARGET,
        state=TargetState.READY.value,
        node=f'{user.service}-{server}',
        data_centre=centre,
        region=user.regions[centre],
    )


def _cell(
    user: UserLoad,
    target: Target,
    server: int,
    indexes: tuple[int, int],
) -> TrafficCell:
    route = user.routes[indexes[0]]
    caller_name = list(user.callers)[indexes[1]]
    caller_share = user.callers[caller_name]
    return TrafficCell(
        target=target,
        is_new=target.version == NEW_VERSION,
        server=server,
        centre=list(user.servers).index(target.data_centre),
        route=indexes[0],
        caller=indexes[1],
        route_name=route.name,
        caller_name=caller_name,
        rate=CALLS_PER_SERVER_S * route.share * caller_share,
        median_ms=route.median_ms,
    )

"""Topology of the benchmark: regions, control instances and nodes."""

import random
from typing import Final

from mustardspur_core.profile import Profile, parse_profile
from mustardspur_core.record import Record, replaced
from mustardspur_core.settings import Intervals, Listen, Peer, Settings
from mustardspur_core.state import ServiceConfig

REGIONS: Final = 6
DATA_CENTRES_PER_REGION: Final = 3
CONTROL_INSTANCES: Final = 22
SERVICES: Final = 190
CALLED_SERVICES: Final = 4
NODE_SIZES: Final = (350, 700, 1400, 2800)
ONE_WAY_DELAY_S: Final = 0.02
LINK_BYTES_PER_S: Final = 30_000_000 // 8
_SEED: Final = 7
_NOW_S: Final = 1_800_000_000


class ControlSpec(Record):
    """Name and location of a control instance."""

    __slots__ = ('name', 'data_centre', 'region')
    name: str
    data_centre: str
    region: str


class NodeSpec(Record):
    """Name, location and services of a node, its own service first."""

    __slots__ = ('name', 'data_centre', 'region', 'services', 'host')
    name: str
    data_centre: str
    region: str
    services: list[str]
    host: str


def region_name(number: int) -> str:
    """Return the name of a region; region 0 has the source."""
    return f'region-{number}'


def control_specs() -> list[ControlSpec]:
    """Return the control instances, distributed over the data centres."""
    specs = []
    count = REGIONS * DATA_CENTRES_PER_REGION
    for number in range(CONTROL_INSTANCES):
        data_centre = number % count
        region = data_centre % REGIONS
        specs.append(
            ControlSpec(
                name='c{0:02}'.format(number),
                data_centre=f'dc-{data_centre}',
                region=region_name(region),
            ),
        )
    return specs


def control_names_by_distance(spec: ControlSpec) -> list[str]:
    """Return the names of the region's instances, the closest first."""
    ranked = sorted(
        (other.data_centre != spec.data_centre, other.name)
        for other in control_specs()
        if other.region == spec.region
    )
    return [name for _, name in ranked]


def node_specs(count: int) -> list[NodeSpec]:
    """Return the first nodes, distributed over all data centres.

    A node is the same for all counts, since the random numbers have a seed.
    """
    rng = random.Random(_SEED)
    return [_node_spec(number, rng) for number in range(count)]


def _node_spec(number: int, rng: random.Random) -> NodeSpec:
    data_centre = rng.randrange(REGIONS * DATA_CENTRES_PER_REGION)
    own = number % SERVICES
    others = [service for service in range(SERVICES) if service != own]
    called = rng.sample(others, CALLED_SERVICES)
    return NodeSpec(
        name='node-{0:04}'.format(number),
        data_centre=f'dc-{data_centre}',
        region=region_name(data_centre % REGIONS),
        services=[service_name(service) for service in (own, *called)],
        host='127.1.{0}.{1}'.format(number // 250, number % 250 + 1),
    )


def service_name(number: int) -> str:
    """Return the name of a service."""
    return 'service-{0:03}'.format(number)


def control_settings(
    spec: ControlSpec,
    stream: str,
    peers: list[Peer],
) -> Settings:
    """Return the settings of a control instance."""
    settings = _settings(spec.name, spec.data_centre, spec.region)
    return replaced(
        settings,
        role='control',
        listen=_listen(stream, '127.0.0.1:1'),
        peers=peers,
    )


def node_settings(spec: NodeSpec, control: list[str]) -> Settings:
    """Return the settings of a node."""
    settings = _settings(spec.name, spec.data_centre, spec.region)
    return replaced(
        settings,
        listen=_listen(None, f'{spec.host}:8000'),
        control=control,
        service=spec.services[0],
        calls=spec.services[1:],
    )


def make_config(service: str, index: int) -> ServiceConfig:
    """Return a configuration whose last route depends on the index."""
    profile = replaced(_BASE_PROFILE, name=f'{service}-profile')
    routes = list(profile.routes)
    routes[-1] = replaced(routes[-1], timeout_ms=1000 + index)
    return ServiceConfig(
        service=service,
        index=index,
        number=index,
        profile=replaced(profile, routes=routes),
        moves=[],
    )


def _settings(name: str, data_centre: str, region: str) -> Settings:
    return Settings(
        role='node',
        id=name,
        data_centre=data_centre,
        region=region,
        data_dir=None,
        listen=_listen(None, '127.0.0.1:1'),
        peers=[],
        control=[],
        service=None,
        calls=[],
        statsd=None,
        log_level='error',
        timeline=None,
        intervals=Intervals(
            heartbeat_s=1,
            silence_s=3,
            lease_s=3,
            election_s=0.5,
            drain_s=30,
        ),
        mesh=None,
    )


def _listen(stream: str | None, http: str) -> Listen:
    return Listen(
        stream=stream,
        http=http,
        ready=None,
        targets=None,
        metrics=None,
    )


def _base_profile() -> Profile:
    """Return a profile of a realistic size."""
    classes = {
        name: {
            'priority': priority,
            'max_in_flight_per_target': 4,
            'queue_limit': 50,
        }
        for priority, name in enumerate(('quick', 'bulk'))
    }
    routes = [
        {
            'name': f'route-{number}',
            'path_prefix': f'/path-{number}',
            'methods': ['GET'],
            'headers': {},
            'weights': {'stable': 100},
            'call_class': 'quick',
            'retry': 'once',
            'idempotent': True,
            'timeout_ms': 500,
        }
        for number in range(6)
    ]
    document = {
        'name': 'base',
        'target_sets': {'stable': {'version': '1.4.0'}},
        'call_classes': classes,
        'retries': {
            'once': {'attempts': 1, 'budget_ratio': 0, 'hedge_after_ms': 0},
        },
        'routes': routes,
        'move': {
            'within_s': 600,
            'first_share': 0.02,
            'unjudged': 'take_back',
            'weighing': 'convergence_time',
        },
    }
    return parse_profile(document, 'benchmark', _NOW_S).ok


_BASE_PROFILE = _base_profile()

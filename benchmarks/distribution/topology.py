"""Regions, control instances and nodes of the benchmark."""

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


class ControlPlace(Record):
    """Where a control instance runs."""

    __slots__ = ('name', 'data_centre', 'region')
    name: str
    data_centre: str
    region: str


class NodePlace(Record):
    """Where a node runs, and what it needs."""

    __slots__ = ('name', 'data_centre', 'region', 'services', 'host')
    name: str
    data_centre: str
    region: str
    services: list[str]
    host: str


def region_name(number: int) -> str:
    """Return the name of a region; region 0 has the source."""
    return f'region-{number}'


def control_places() -> list[ControlPlace]:
    """Return one instance a data centre, and the spares in turn."""
    places = []
    count = REGIONS * DATA_CENTRES_PER_REGION
    for number in range(CONTROL_INSTANCES):
        data_centre = number % count
        region = data_centre % REGIONS
        places.append(
            ControlPlace(
                name='c{0:02}'.format(number),
                data_centre=f'dc-{data_centre}',
                region=region_name(region),
            ),
        )
    return places


def nearest_names(place: ControlPlace) -> list[str]:
    """Return the region's instances, those of the data centre first."""
    ranked = sorted(
        (other.data_centre != place.data_centre, other.name)
        for other in control_places()
        if other.region == place.region
    )
    return [name for _, name in ranked]


def node_places(count: int) -> list[NodePlace]:
    """Return the first nodes of the fleet, spread over all places."""
    choice = random.Random(_SEED)
    return [_node_place(number, choice) for number in range(count)]


def _node_place(number: int, choice: random.Random) -> NodePlace:
    data_centre = choice.randrange(REGIONS * DATA_CENTRES_PER_REGION)
    own = number % SERVICES
    others = [each for each in range(SERVICES) if each != own]
    called = choice.sample(others, CALLED_SERVICES)
    return NodePlace(
        name='node-{0:04}'.format(number),
        data_centre=f'dc-{data_centre}',
        region=region_name(data_centre % REGIONS),
        services=[service_name(each) for each in (own, *called)],
        host='127.1.{0}.{1}'.format(number // 250, number % 250 + 1),
    )


def service_name(number: int) -> str:
    """Return the name of a service."""
    return 'service-{0:03}'.format(number)


def control_settings(
    place: ControlPlace,
    stream: str,
    peers: list[Peer],
) -> Settings:
    """Return the settings of a control instance."""
    settings = _settings(place.name, place.data_centre, place.region)
    return replaced(
        settings,
        role='control',
        listen=_listen(stream, '127.0.0.1:1'),
        peers=peers,
    )


def node_settings(place: NodePlace, control: list[str]) -> Settings:
    """Return the settings of a node."""
    settings = _settings(place.name, place.data_centre, place.region)
    return replaced(
        settings,
        listen=_listen(None, f'{place.host}:8000'),
        control=control,
        service=place.services[0],
        calls=place.services[1:],
    )


def make_config(service: str, index: int) -> ServiceConfig:
    """Return a configuration whose last route differs by index."""
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
    """Return a profile of a size as operators write them."""
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

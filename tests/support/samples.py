"""Sample settings, configurations and targets, and fakes for tests."""

from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result
from mustardspur_agreement.ports import ProposalError
from mustardspur_core.profile import parse_profile
from mustardspur_core.record import replaced
from mustardspur_core.settings import Settings, parse_settings
from mustardspur_core.state import Move, ServiceConfig, Target
from mustardspur_core.timeline import Timeline

NOW_S = 1_800_000_000.0
NULL_TIMELINE = Timeline('test', 'split-a', None)


def node_settings(name: str = 'n1', **changes: Any) -> Settings:
    """Return the settings of a node of service ``forms``."""
    document = {
        'role': 'node',
        'id': name,
        'data_centre': 'split-a',
        'region': 'dalmacija',
        'listen': {'http': '127.0.0.1:8000'},
        'control': ['c1'],
        'service': 'forms',
    }
    settings = parse_settings(
        {**document, 'control': ['127.0.0.1:7000']},
        'node.json',
    ).ok
    return replaced(settings, **{'control': ['c1'], **changes})


def control_settings(name: str = 'c1', **changes: Any) -> Settings:
    """Return the settings of a control instance."""
    document = {
        'role': 'control',
        'id': name,
        'data_centre': 'split-a',
        'region': 'dalmacija',
        'data_dir': '/nonexistent',
        'listen': {'http': '127.0.0.1:8001', 'stream': '127.0.0.1:7000'},
        'peers': [],
    }
    return replaced(parse_settings(document, 'control.json').ok, **changes)


def config(
    index: int,
    version: str = '1',
    service: str = 'forms',
    weights: dict[str, int] | None = None,
    moves: list[Move] | None = None,
) -> ServiceConfig:
    """Return a configuration with one route to one target set."""
    profile = parse_profile(
        {
            'name': 'standard',
            'target_sets': {'stable': {'version': version}},
            'call_classes': {
                'quick': {
                    'priority': 0,
                    'max_in_flight_per_target': 4,
                    'queue_limit': 50,
                },
            },
            'retries': {
                'once': {
                    'attempts': 1,
                    'budget_ratio': 0,
                    'hedge_after_ms': 0,
                },
            },
            'routes': [
                {
                    'name': 'all',
                    'path_prefix': '/',
                    'methods': ['GET'],
                    'headers': {},
                    'weights': {'stable': 100},
                    'call_class': 'quick',
                    'retry': 'once',
                    'idempotent': True,
                    'timeout_ms': 400 + index,
                },
            ],
            'move': {
                'within_s': 600,
                'first_share': 0.02,
                'unjudged': 'take_back',
                'weighing': 'convergence_time',
            },
        },
        'sample',
        NOW_S,
    ).ok
    if weights is not None:
        profile.routes[0].weights = weights
    return ServiceConfig(
        service=service,
        index=index,
        number=index,
        profile=profile,
        moves=moves or [],
    )


def move(share: float, state: str = 'running', step: int = 1) -> Move:
    """Return a move of ``forms`` from version 1 to version 2."""
    return Move(
        id='forms:stable:2',
        service='forms',
        target_set='stable',
        from_version='1',
        to_version='2',
        started_s=NOW_S,
        by_s=NOW_S + 600,
        state=state,
        share=share,
        step=step,
        reason='',
    )


def target(name: str, version: str = '1', **changes: Any) -> Target:
    """Return a ready target of service ``forms`` on node ``n1``."""
    port = 9000 + int(name[1:])
    return replaced(
        Target(
            id=name,
            service='forms',
            version=version,
            address=f'127.0.0.1:{port}',
            incarnation=1,
            slots=9,
            state='ready',
            node='n1',
            data_centre='split-a',
            region='dalmacija',
        ),
        **changes,
    )


def announcement(**changes: Any) -> dict[str, Any]:
    """Return the JSON document that a target posts to its node."""
    document = {
        'id': 't1',
        'service': 'forms',
        'version': '1',
        'address': '127.0.0.1:9001',
        'incarnation': 1,
        'slots': 9,
        'state': 'ready',
    }
    return {**document, **changes}


class FakeConfigSource:
    """Configurations set by a test, as a replacement for the store."""

    def __init__(self, *configs: ServiceConfig) -> None:
        """Initialise the source with configurations."""
        self._configs = {each.service: each for each in configs}
        self._callbacks: list[Callable[[str], None]] = []

    def put(self, newest: ServiceConfig) -> None:
        """Replace the configuration of a service and call the callbacks."""
        self._configs[newest.service] = newest
        for callback in self._callbacks:
            callback(newest.service)

    def config(self, service: str) -> ServiceConfig | None:
        """Return the newest configuration."""
        return self._configs.get(service)

    def services(self) -> list[str]:
        """Return all services."""
        return list(self._configs)

    def running_moves(self) -> list[Move]:
        """Return an empty list; the tests of streams need no moves."""
        return []

    def on_change(self, callback: Callable[[str], None]) -> None:
        """Register a callback for changes."""
        self._callbacks.append(callback)


class FakeBarrier:
    """A read barrier with a result set by the test."""

    def __init__(self, *, passes: bool = True) -> None:
        """Initialise the barrier with the result of all calls."""
        self.passes = passes
        self.runs = 0

    async def read_barrier(self) -> Result[int, ProposalError]:
        """Return the configured result."""
        self.runs += 1
        if self.passes:
            return Ok(1)
        return Error(
            ProposalError(kind='no_quorum', detail='', leader=None),
        )


class CountingMetrics:
    """Metrics that store their counters in a dictionary."""

    def __init__(self) -> None:
        """Initialise without counters."""
        self.counts: dict[str, int] = {}

    def incr(self, stat: str, count: int = 1) -> None:
        """Increment a counter."""
        self.counts[stat] = self.counts.get(stat, 0) + count

    def gauge(self, stat: str, value: float) -> None:
        """Discard a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Discard a duration."""

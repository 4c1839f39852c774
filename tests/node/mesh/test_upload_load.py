"""Uploads and small calls at the load of five links, in virtual time."""

import asyncio
import random
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from types import MappingProxyType, SimpleNamespace
from typing import Final

import pytest
from mustardspur_core.mesh.control_messages import MeshTargets
from mustardspur_core.mesh.model import MeshRoute
from mustardspur_core.metrics import NullMetrics
from mustardspur_core.settings import MeshSettings
from mustardspur_node.mesh.calls import UnansweredCall
from mustardspur_node.mesh.placing import Placer
from mustardspur_node.mesh.view import MeshView

from tests.core.mesh.builders import route, target
from tests.node.mesh.builders import local_target, mesh_call, node_settings
from tests.node.stand_ins.links import SENDER, LinkNetwork, TimedTarget
from tests.support.virtual_time import in_virtual_time, virtual_now_s

_LINK_MBPS: Final = 4.2
_SENDERS: Final = 20
_LENGTH_S: Final = 10.0
_UPLOAD: Final = route(
    'uploads',
    idempotent=False,
    objective_ms=1279.0,
    timeout_ms=5114.0,
)
_LOOKUP: Final = route('lookups', objective_ms=295.0, timeout_ms=884.0)
_RUN_MS: Final = MappingProxyType({'uploads': 250.0, 'lookups': 53.0})


class _Load:
    """Calls of several nodes to five targets, and their times."""

    def __init__(self, network: LinkNetwork) -> None:
        targets = [target(str(port), id='t1') for port in range(11, 16)]
        view = MeshView()
        view.apply_targets(MeshTargets(full=True, upserts=targets, removed=[]))
        for each in targets:
            network.add(each.node, TimedTarget(_LINK_MBPS, _RUN_MS))
        settings = node_settings()
        assert isinstance(settings.mesh, MeshSettings)
        settings.mesh.link_mbps = _LINK_MBPS
        self.placers: list[Placer] = []
        for _ in range(_SENDERS):
            local = local_target('127.0.0.1:1')
            local.admission.link.set_bandwidth(_LINK_MBPS)
            placer = Placer(settings, settings.mesh, view, local, NullMetrics())
            self.placers.append(placer)
        self.random = random.Random(5)
        self.answered_ms: dict[str, list[float]] = {
            'uploads': [],
            'lookups': [],
        }
        self.refused_ms: list[float] = []
        self.statuses: set[HTTPStatus] = set()
        self.answered_bytes = 0

    async def send(
        self,
        called: MeshRoute,
        per_s: float,
        next_size: Callable[[], float],
    ) -> None:
        """Send calls at random times and wait for their ends."""
        async with asyncio.TaskGroup() as group:
            while virtual_now_s() < _LENGTH_S:
                await asyncio.sleep(self.random.expovariate(per_s))
                number = self.random.randrange(_SENDERS)
                SENDER.set(str(number))
                size = int(next_size())
                group.create_task(
                    self._call(self.placers[number], called, size)
                )

    async def _call(self, placer: Placer, called: MeshRoute, size: int) -> None:
        start_s = virtual_now_s()
        deadline_s = start_s + called.timeout_ms / 1000
        call = mesh_call(
            route=called,
            body=bytes(size),
            deadline_s=deadline_s,
            useful_s=deadline_s,
        )
        times_ms = self.answered_ms[called.name]
        try:
            await placer.place(call)
        except UnansweredCall as refusal:
            self.statuses.add(refusal.status)
            times_ms = self.refused_ms
            size = 0
        self.answered_bytes += size
        times_ms.append((virtual_now_s() - start_s) * 1000)


def _percent_within(times_ms: list[float], bound_ms: float) -> float:
    return 100 * sum(each <= bound_ms for each in times_ms) / len(times_ms)


@pytest.fixture(name='network')
def _network(monkeypatch: pytest.MonkeyPatch) -> LinkNetwork:
    network = LinkNetwork(_LINK_MBPS)
    network.install(monkeypatch)
    monkeypatch.setattr(
        'mustardspur_node.mesh.placing.random',
        SimpleNamespace(Random=partial(random.Random, 3)),
    )
    return network


@in_virtual_time
async def test_uploads_beyond_the_links(network: LinkNetwork) -> None:
    """Guards against small calls that queue behind bodies, bodies that arrive
    late, links that idle, and unknown outcomes, at 30 Mbit/s of bodies.
    """
    load = _Load(network)
    async with asyncio.TaskGroup() as group:
        group.create_task(
            load.send(
                _UPLOAD,
                61.7,
                lambda: min(load.random.expovariate(1 / 60_000), 360_000) + 1,
            )
        )
        group.create_task(load.send(_LOOKUP, 100, lambda: 600))
    for placer in load.placers:
        placer.links.close()
    assert max(load.answered_ms['lookups']) <= _LOOKUP.objective_ms
    in_time = _percent_within(load.answered_ms['uploads'], _UPLOAD.objective_ms)
    assert in_time >= 95
    # A body that has waited for 100 ms keeps its place; four targets may refuse
    # a call one after the other.
    assert _percent_within(load.refused_ms, 400) >= 95
    assert load.answered_bytes * 8 / _LENGTH_S >= 0.8 * 5 * 4.2e6
    assert load.statuses == {HTTPStatus.SERVICE_UNAVAILABLE}

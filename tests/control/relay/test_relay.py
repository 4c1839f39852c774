"""Tests the exchange between control instances."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

from mustardspur_control.applied import NodeApplied
from mustardspur_control.expiry import expiring
from mustardspur_control.relay import Relay, RelayHello
from mustardspur_core.messages import Applied, CutOff, OutcomeRow, Outcomes
from mustardspur_core.record import replaced
from mustardspur_core.settings import Peer
from mustardspur_core.state import Target

from tests.support.in_process_network import InProcessNetwork
from tests.support.processes import Control
from tests.support.samples import (
    FakeBarrier,
    FakeConfigSource,
    config,
    control_settings,
    target,
)
from tests.support.virtual_time import in_virtual_time

SETTLED_S = 12
LOCATIONS = (
    ('c1', 'split-a', 'dalmacija'),
    ('c2', 'zadar-a', 'dalmacija'),
    ('c3', 'osijek-a', 'slavonija'),
    ('c4', 'vukovar-a', 'slavonija'),
)
PEERS = tuple(
    Peer(
        id=name,
        stream=name,
        http='',
        data_centre=data_centre,
        region=region,
        voter=name == 'c1',
    )
    for name, data_centre, region in LOCATIONS
)
Controls = dict[str, Control]


def assemble(
    network: InProcessNetwork, location: tuple[str, str, str]
) -> tuple[Control, Relay]:
    """Return a control instance with its relay, served at its name."""
    settings = control_settings(
        location[0],
        data_centre=location[1],
        region=location[2],
        peers=list(PEERS),
    )
    control = Control(settings, FakeConfigSource(config(1)), FakeBarrier())
    relay = Relay(settings, control.hub, lambda: 'c1', network.connect)
    control.streams.add(RelayHello, relay.serve)
    network.servers[location[0]] = control.streams.serve
    return control, relay


@asynccontextmanager
async def running(network: InProcessNetwork) -> AsyncIterator[Controls]:
    """Run two control instances in each of two regions; ``c1`` leads."""
    instances = {
        location[0]: assemble(network, location) for location in LOCATIONS
    }
    contexts = [
        context
        for control, relay in instances.values()
        for context in (
            expiring(control.settings, control.registry),
            relay.running(),
        )
    ]
    async with AsyncExitStack() as stack:
        await asyncio.gather(*map(stack.enter_async_context, contexts))
        yield {name: instance[0] for name, instance in instances.items()}


def local(name: str, node: str, version: str = '1') -> Target:
    """Return a target in ``vukovar-a``, where ``c4`` is."""
    return target(
        name,
        version,
        node=node,
        data_centre='vukovar-a',
        region='slavonija',
    )


def names(control: Control) -> list[str]:
    """Return the targets that a control instance knows."""
    return [each.id for each in control.registry.targets('forms')]


@in_virtual_time
async def test_region_has_all_targets() -> None:
    """Guards against targets missing in a region or outliving their lease."""
    async with running(InProcessNetwork()) as controls:
        for number in range(1, 6):
            node = f'n{number}'
            controls['c4'].registry.announce(node, [local(f't{number}', node)])
        await asyncio.sleep(2)
        assert names(controls['c3']) == ['t1', 't2', 't3', 't4', 't5']
        await asyncio.sleep(SETTLED_S)
        # No node is connected, so all leases have ended.
        assert names(controls['c3']) == []


@in_virtual_time
async def test_other_regions_get_a_sample() -> None:
    """Guards against full target lists, or none, on the paid link."""
    network = InProcessNetwork()
    async with running(network) as controls:
        await asyncio.sleep(SETTLED_S)
        for number in range(1, 6):
            node = f'n{number}'
            controls['c4'].registry.announce(node, [local(f't{number}', node)])
        await asyncio.sleep(2)
        assert names(controls['c1']) == ['t1', 't2', 't3']
        assert names(controls['c2']) == ['t1', 't2', 't3']
        controls['c4'].registry.announce('n1', [])
        await asyncio.sleep(1)
        assert names(controls['c2']) == ['t2', 't3', 't4']


@in_virtual_time
async def test_only_gateways_cross_the_link() -> None:
    """Guards against more than one stream each way between regions."""
    network = InProcessNetwork()
    instances = [assemble(network, location) for location in LOCATIONS]
    async with AsyncExitStack() as stack:
        contexts = (relay.running() for _, relay in instances)
        await asyncio.gather(*map(stack.enter_async_context, contexts))
        await asyncio.sleep(2)
        remote = [relay.remote_peers for _, relay in instances]
        assert remote == [['c3'], [], ['c1'], []]


@in_virtual_time
async def test_cut_off_reaches_every_instance() -> None:
    """Guards against traffic to a bad version in another data centre."""
    cut_off = CutOff(move='forms:stable:2', version='2', origin='n', reason='')
    async with running(InProcessNetwork()) as controls:
        await asyncio.sleep(2)
        controls['c4'].hub.cut_offs.add(cut_off)
        await asyncio.sleep(1)
        assert all(
            control.hub.cut_offs.by_move == {cut_off.move: cut_off}
            for control in controls.values()
        )


@in_virtual_time
async def test_reports_and_evidence_reach_the_leader() -> None:
    """Guards against decisions without the evidence of a data centre."""
    row = OutcomeRow(
        version='2',
        route='all',
        data_centre='vukovar-a',
        target='t1',
        caller='',
        calls=3,
        failures=1,
        refusals=0,
        latency_counts={'4': 3},
    )
    merged: list[Outcomes] = []
    async with running(InProcessNetwork()) as controls:
        await asyncio.sleep(2)
        controls['c1'].hub.on_outcomes(
            lambda _, outcomes: merged.append(outcomes)
        )
        remote_hub = controls['c4'].hub
        report = Applied(service='forms', index=7, pending_index=7, reason='')
        remote_hub.report_applied('n1', report)
        remote_hub.report_outcomes('n1', Outcomes(move='m', step=1, rows=[row]))
        remote_hub.report_outcomes('n2', Outcomes(move='m', step=1, rows=[row]))
        await asyncio.sleep(2)
        applied_rows = controls['c1'].hub.applied.rows('forms')
        assert applied_rows == [
            NodeApplied(control='c4', node='n1', report=report)
        ]
        twice = replaced(
            row,
            calls=6,
            failures=2,
            latency_counts={'4': 6},
        )
        assert merged == [Outcomes(move='m', step=1, rows=[twice])]

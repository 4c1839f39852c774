"""Measurements on a running mesh."""

import random
import time
from collections import Counter, defaultdict
from typing import Final

import numpy as np
from mustardspur_core.record import Record

from benchmarks.distribution.mesh import DistributionMesh
from benchmarks.distribution.mesh_counters import MeshCounters
from benchmarks.distribution.node_worker import AppliedChange
from benchmarks.distribution.topology import (
    REGIONS,
    SERVICES,
    region_name,
    service_name,
)

_AppliedKey = tuple[str, str]
_TimeAndIndex = tuple[float, int]
FiguresByName = dict[str, float]

CONFIG_UPDATE: Final = 6
TARGET_UPDATE: Final = 7
FEED_CHANGES: Final = 121
APPLIED_SUMMARY: Final = 73
CHANGES: Final = 25
CHANGE_INTERVAL_S: Final = 0.1
STEADY_S: Final = 3
# Time until the summaries of nodes that have just started are relayed.
SETTLE_S: Final = 5
RETURNING_NODES: Final = 5
MISSED_CHANGES: Final = 500
# Paid links between the region of the source and the other regions.
LINKS: Final = REGIONS - 1
_SOURCE_REGION: Final = region_name(0)
_random = random.Random(3)


class MeasuredChange(Record):
    """A change of a service or of its targets.

    Parameters
    ----------
    name : str
        Name of the service, or of its targets.
    index : int
        Index or incarnation of the change.
    at_s : float
        Time of acceptance.
    nodes : list of str
        Nodes that need the change.
    """

    __slots__ = ('name', 'index', 'at_s', 'nodes')
    name: str
    index: int
    at_s: float
    nodes: list[str]


def measure_changes(mesh: DistributionMesh) -> FiguresByName:
    """Change configurations one at a time and measure their distribution."""
    mesh_counters = MeshCounters(mesh)
    mesh_counters.take_applied_changes()
    sent_by_type, link_batches = (
        mesh_counters.sent_by_type(),
        mesh_counters.link_batches(),
    )
    services = [
        service_name(_random.randrange(SERVICES)) for _ in range(CHANGES)
    ]
    accepted = mesh.change(services, CHANGE_INTERVAL_S)
    last_report_s = mesh.wait_for_reports() - accepted[-1][2]
    time.sleep(0.5)
    added_by_type = mesh_counters.sent_by_type() - sent_by_type
    link_batch_count = mesh_counters.link_batches() - link_batches
    return {
        **_convergence(mesh, accepted),
        **_bytes_per_change(added_by_type),
        'copies_per_link': link_batch_count / CHANGES / LINKS,
        'all_reported_s': last_report_s,
    }


def _convergence(
    mesh: DistributionMesh,
    accepted: list[tuple[str, int, float]],
) -> FiguresByName:
    nodes = _nodes_by_service(mesh)
    changes = [
        MeasuredChange(name=service, index=index, at_s=at, nodes=nodes[service])
        for service, index, at in accepted
    ]
    source_region_nodes = {
        spec.name for spec in mesh.specs if spec.region == _SOURCE_REGION
    }
    delays = _delays(changes, MeshCounters(mesh).take_applied_changes())
    region_delays = [
        delay for node, delay in delays if node in source_region_nodes
    ]
    link_delays = [
        delay for node, delay in delays if node not in source_region_nodes
    ]
    return {
        **_quantiles('', [delay for _, delay in delays]),
        **_quantiles('region_', region_delays),
        **_quantiles('link_', link_delays),
        'receivers_per_change': len(delays) / CHANGES,
    }


def _bytes_per_change(added_by_type: Counter[int]) -> FiguresByName:
    codes = (CONFIG_UPDATE, FEED_CHANGES, APPLIED_SUMMARY)
    return {
        'bytes_per_change': sum(added_by_type[code] for code in codes)
        / CHANGES,
        'node_bytes_per_change': added_by_type[CONFIG_UPDATE] / CHANGES,
        'feed_bytes_per_change': added_by_type[FEED_CHANGES] / CHANGES,
        'report_bytes_per_change': added_by_type[APPLIED_SUMMARY] / CHANGES,
    }


def measure_targets(mesh: DistributionMesh) -> FiguresByName:
    """Restart targets one at a time; measure updates in their region."""
    mesh_counters = MeshCounters(mesh)
    mesh_counters.take_applied_changes()
    sent_by_type = mesh_counters.sent_by_type()
    specs = _random.sample(mesh.specs, 20)
    changes = []
    for number, spec in enumerate(specs):
        index = mesh.size * 100 + number
        at_s = min(
            worker.call('announce', incarnations={spec.name: index})
            for worker in mesh.node_workers
        )
        changes.append(
            MeasuredChange(
                name=f'targets of {spec.services[0]}',
                index=index,
                at_s=at_s,
                nodes=[
                    other.name
                    for other in mesh.specs
                    if other.region == spec.region
                    and spec.services[0] in other.services
                ],
            ),
        )
        time.sleep(0.05)
    time.sleep(1)
    added_by_type = mesh_counters.sent_by_type() - sent_by_type
    delays = [
        delay
        for _, delay in _delays(changes, mesh_counters.take_applied_changes())
    ]
    return {
        **_quantiles('target_', delays),
        'target_receivers': len(delays) / len(specs),
        'target_bytes_per_change': added_by_type[TARGET_UPDATE] / len(specs),
    }


def measure_steady(mesh: DistributionMesh) -> FiguresByName:
    """Measure traffic and processor time of all nodes without changes."""
    time.sleep(SETTLE_S)
    mesh_counters = MeshCounters(mesh)
    before, link = _node_totals(mesh_counters), mesh_counters.link_bytes()
    started = time.monotonic()
    time.sleep(STEADY_S)
    after = _node_totals(mesh_counters)
    elapsed_s = time.monotonic() - started
    per_node_s = mesh.size * elapsed_s
    cpu_s = after['processor_s'] - before['processor_s']
    return {
        'bytes_per_node_s': (after['bytes'] - before['bytes']) / per_node_s,
        'core_share_per_node': cpu_s / per_node_s,
        'link_bytes_per_s': (mesh_counters.link_bytes() - link) / elapsed_s,
    }


def _node_totals(mesh_counters: MeshCounters) -> Counter[str]:
    total: Counter[str] = Counter()
    for totals in mesh_counters.node_totals():
        total.update(totals)
    return total


def measure_restart(mesh: DistributionMesh) -> FiguresByName:
    """Restart all control instances, with a change while they are down."""
    mesh.kill_control()
    killed_at = time.monotonic()
    service = service_name(1)
    mesh.indexes[service] = mesh.next_index
    mesh.start_control()
    ended_at = mesh.wait_until_current()
    counters = MeshCounters(mesh).counters()
    return {
        'from_listening_s': ended_at - mesh.started_at,
        'from_kill_s': ended_at - killed_at,
        'refused': sum(each['busy'] for each in counters),
        'peak_handshakes': max(each['peak_handshakes'] for each in counters),
        'region_process_mib': max(each['memory_mib'] for each in counters),
        'sent_bytes': sum(MeshCounters(mesh).sent_by_type().values()),
    }


def measure_return(mesh: DistributionMesh) -> FiguresByName:
    """Reconnect nodes that missed 500 changes of their services.

    The nodes reconnect once with their state and once without it.
    """
    specs = mesh.specs[:RETURNING_NODES]
    names = [spec.name for spec in specs]
    services = sorted({each for spec in specs for each in spec.services})
    for worker in mesh.node_workers:
        worker.call('disconnect', names=names)
    changes = [
        services[number % len(services)] for number in range(MISSED_CHANGES)
    ]
    accepted_at = time.monotonic()
    mesh.control[0].call(
        'change',
        services=changes,
        first_index=mesh.next_index,
        interval_s=0.002,
    )
    first = mesh.next_index
    for number, service in enumerate(changes):
        mesh.indexes[service] = first + number
    changed_s = time.monotonic() - accepted_at
    time.sleep(1)
    delta_bytes = _reconnect(mesh, names, lose_state=False)
    for disconnected in mesh.node_workers:
        disconnected.call('disconnect', names=names)
    full_copy_bytes = _reconnect(mesh, names, lose_state=True)
    return {
        'returned_bytes_per_node': delta_bytes / RETURNING_NODES,
        'full_copy_bytes_per_node': full_copy_bytes / RETURNING_NODES,
        'bytes_ratio': delta_bytes / full_copy_bytes,
        'changes_s': changed_s,
    }


def _reconnect(
    mesh: DistributionMesh, names: list[str], *, lose_state: bool
) -> int:
    return sum(
        worker.call(
            'reconnect',
            names=names,
            indexes=mesh.indexes,
            lose_state=lose_state,
        )
        for worker in mesh.node_workers
    )


def _nodes_by_service(mesh: DistributionMesh) -> dict[str, list[str]]:
    nodes: dict[str, list[str]] = defaultdict(list)
    for spec in mesh.specs:
        for service in spec.services:
            nodes[service].append(spec.name)
    return nodes


def _delays(
    changes: list[MeasuredChange],
    applied_changes: list[AppliedChange],
) -> list[tuple[str, float]]:
    """Return the node and the delay of each change at each of its nodes."""
    times: dict[_AppliedKey, list[_TimeAndIndex]] = defaultdict(list)
    for node, name, index, at_s in applied_changes:
        times[node, name].append((at_s, index))
    delays = []
    for change in changes:
        for receiver in change.nodes:
            times_in_force = [
                time[0]
                for time in times[receiver, change.name]
                if time[1] >= change.index
            ]
            # The delay is infinite if the node never has it in force.
            in_force_s = min(times_in_force, default=float('inf'))
            delays.append((receiver, in_force_s - change.at_s))
    return delays


def _quantiles(prefix: str, delays: list[float]) -> FiguresByName:
    if not delays:
        return {}
    return {
        f'{prefix}p50_s': float(np.quantile(delays, 0.5)),
        f'{prefix}p99_s': float(np.quantile(delays, 0.99)),
        f'{prefix}max_s': max(delays),
    }

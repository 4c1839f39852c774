"""The measurements, each on a running mesh."""

import random
import time
from collections import Counter, defaultdict
from typing import Final

import numpy as np
from mustardspur_core.record import Record

from benchmarks.distribution.mesh import Mesh
from benchmarks.distribution.node_worker import Seen
from benchmarks.distribution.readings import Readings
from benchmarks.distribution.topology import (
    REGIONS,
    SERVICES,
    region_name,
    service_name,
)

_SeenKey = tuple[str, str]
_Time = tuple[float, int]
Figures = dict[str, float]

CONFIG_UPDATE: Final = 6
TARGET_UPDATE: Final = 7
FEED_CHANGES: Final = 121
APPLIED_SUMMARY: Final = 73
CHANGES: Final = 25
CHANGE_INTERVAL_S: Final = 0.1
STEADY_S: Final = 3
# Until the summaries of the nodes that have just started are passed on.
SETTLE_S: Final = 5
RETURNING_NODES: Final = 5
MISSED_CHANGES: Final = 500
# Paid links between the source's region and each other one.
LINKS: Final = REGIONS - 1
_SOURCE_REGION: Final = region_name(0)
_choice = random.Random(3)


class Event(Record):
    """A change of a service, or of its targets, and when it was accepted."""

    __slots__ = ('name', 'index', 'at_s', 'nodes')
    name: str
    index: int
    at_s: float
    nodes: list[str]


def measure_changes(mesh: Mesh) -> Figures:
    """Change configurations one at a time and follow each to the nodes."""
    readings = Readings(mesh)
    readings.take_seen()
    sent, far_feed = readings.sent(), readings.far_feed()
    services = [
        service_name(_choice.randrange(SERVICES)) for _ in range(CHANGES)
    ]
    accepted = mesh.change(services, CHANGE_INTERVAL_S)
    last_report_s = mesh.wait_for_reports() - accepted[-1][2]
    time.sleep(0.5)
    spent = readings.sent() - sent
    copies = readings.far_feed() - far_feed
    return {
        **_convergence(mesh, accepted),
        **_bytes_per_change(spent),
        'copies_per_link': copies / CHANGES / LINKS,
        'all_reported_s': last_report_s,
    }


def _convergence(
    mesh: Mesh,
    accepted: list[tuple[str, int, float]],
) -> Figures:
    nodes = _nodes_by_service(mesh)
    events = [
        Event(name=service, index=index, at_s=at, nodes=nodes[service])
        for service, index, at in accepted
    ]
    near = {
        place.name for place in mesh.places if place.region == _SOURCE_REGION
    }
    delays = _delays(events, Readings(mesh).take_seen())
    inside = [delay for node, delay in delays if node in near]
    across = [delay for node, delay in delays if node not in near]
    return {
        **_quantiles('', [delay for _, delay in delays]),
        **_quantiles('region_', inside),
        **_quantiles('link_', across),
        'receivers_per_change': len(delays) / CHANGES,
    }


def _bytes_per_change(spent: Counter[int]) -> Figures:
    parts = (CONFIG_UPDATE, FEED_CHANGES, APPLIED_SUMMARY)
    return {
        'bytes_per_change': sum(spent[code] for code in parts) / CHANGES,
        'node_bytes_per_change': spent[CONFIG_UPDATE] / CHANGES,
        'feed_bytes_per_change': spent[FEED_CHANGES] / CHANGES,
        'report_bytes_per_change': spent[APPLIED_SUMMARY] / CHANGES,
    }


def measure_targets(mesh: Mesh) -> Figures:
    """Restart targets one at a time and follow each inside its region."""
    readings = Readings(mesh)
    readings.take_seen()
    sent = readings.sent()
    places = _choice.sample(mesh.places, 20)
    events = []
    for number, place in enumerate(places):
        index = mesh.size * 100 + number
        at_s = min(
            worker.call('announce', incarnations={place.name: index})
            for worker in mesh.fleets
        )
        events.append(
            Event(
                name=f'targets of {place.services[0]}',
                index=index,
                at_s=at_s,
                nodes=[
                    other.name
                    for other in mesh.places
                    if other.region == place.region
                    and place.services[0] in other.services
                ],
            ),
        )
        time.sleep(0.05)
    time.sleep(1)
    spent = readings.sent() - sent
    delays = [delay for _, delay in _delays(events, readings.take_seen())]
    return {
        **_quantiles('target_', delays),
        'target_receivers': len(delays) / len(places),
        'target_bytes_per_change': spent[TARGET_UPDATE] / len(places),
    }


def measure_steady(mesh: Mesh) -> Figures:
    """Count the bytes of all nodes while next to nothing changes."""
    time.sleep(SETTLE_S)
    readings = Readings(mesh)
    before, link = _node_totals(readings), readings.link_bytes()
    started = time.monotonic()
    time.sleep(STEADY_S)
    after = _node_totals(readings)
    passed_s = time.monotonic() - started
    per_node_s = mesh.size * passed_s
    busy_s = after['processor_s'] - before['processor_s']
    return {
        'bytes_per_node_s': (after['bytes'] - before['bytes']) / per_node_s,
        'core_share_per_node': busy_s / per_node_s,
        'link_bytes_per_s': (readings.link_bytes() - link) / passed_s,
    }


def _node_totals(readings: Readings) -> Counter[str]:
    total: Counter[str] = Counter()
    for totals in readings.node_totals():
        total.update(totals)
    return total


def measure_restart(mesh: Mesh) -> Figures:
    """Restart every control instance, with a change in between."""
    mesh.kill_control()
    killed_at = time.monotonic()
    service = service_name(1)
    mesh.indexes[service] = mesh.next_index
    mesh.start_control()
    ended_at = mesh.wait()
    counters = Readings(mesh).counters()
    return {
        'from_listening_s': ended_at - mesh.started_at,
        'from_kill_s': ended_at - killed_at,
        'refused': sum(each['busy'] for each in counters),
        'peak_handshakes': max(each['peak_handshakes'] for each in counters),
        'region_process_mib': max(each['memory_mib'] for each in counters),
        'sent_bytes': sum(Readings(mesh).sent().values()),
    }


def measure_return(mesh: Mesh) -> Figures:
    """Let nodes miss 500 changes of their services and come back."""
    places = mesh.places[:RETURNING_NODES]
    names = [place.name for place in places]
    services = sorted({each for place in places for each in place.services})
    for worker in mesh.fleets:
        worker.call('leave', names=names)
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
    caught_up = _come_back(mesh, names, forget=False)
    for leaving in mesh.fleets:
        leaving.call('leave', names=names)
    copied = _come_back(mesh, names, forget=True)
    return {
        'returned_bytes_per_node': caught_up / RETURNING_NODES,
        'full_copy_bytes_per_node': copied / RETURNING_NODES,
        'bytes_ratio': caught_up / copied,
        'changes_s': changed_s,
    }


def _come_back(mesh: Mesh, names: list[str], *, forget: bool) -> int:
    return sum(
        worker.call(
            'come_back',
            names=names,
            indexes=mesh.indexes,
            forget=forget,
        )
        for worker in mesh.fleets
    )


def _nodes_by_service(mesh: Mesh) -> dict[str, list[str]]:
    nodes: dict[str, list[str]] = defaultdict(list)
    for place in mesh.places:
        for service in place.services:
            nodes[service].append(place.name)
    return nodes


def _delays(
    events: list[Event],
    seen: list[Seen],
) -> list[tuple[str, float]]:
    """Return node and delay of each event at each node that needs it."""
    times: dict[_SeenKey, list[_Time]] = defaultdict(list)
    for node, name, index, at_s in seen:
        times[node, name].append((at_s, index))
    delays = []
    for event in events:
        for receiver in event.nodes:
            reached = [
                time[0]
                for time in times[receiver, event.name]
                if time[1] >= event.index
            ]
            # A node that never has it in force counts as infinitely late.
            ended_s = min(reached, default=float('inf'))
            delays.append((receiver, ended_s - event.at_s))
    return delays


def _quantiles(prefix: str, delays: list[float]) -> Figures:
    if not delays:
        return {}
    return {
        f'{prefix}p50_s': float(np.quantile(delays, 0.5)),
        f'{prefix}p99_s': float(np.quantile(delays, 0.99)),
        f'{prefix}max_s': max(delays),
    }

"""Costs of a control instance by number of nodes and of edits."""

import asyncio
import time
from pathlib import Path
from typing import Final

from aiohttp import ClientSession

from benchmarks.capacity.fitting import Costs, Slope
from benchmarks.capacity.meshes import (
    Editor,
    MeasuredControl,
    running_control,
    service_name,
)
from benchmarks.capacity.processes import read_usage
from benchmarks.capacity.simulated_nodes import SimulatedNodes, simulated_nodes

NODE_SIZES: Final = (60, 120, 240, 480)
EDIT_SIZES: Final = (100, 200, 400, 800)
IDLE_S: Final = 4.0
# After its start, an instance waits for nodes to reconnect before it treats
# its registry as complete.
REGISTRY_SETTLE_S: Final = 12.0
CHANGES: Final = 40
CHANGE_INTERVAL_S: Final = 0.05
ROLE: Final = 'control instance'
PROFILE: Final = 'measured'


async def measure_nodes(folder: Path) -> list[Slope]:
    """Measure a control instance with several numbers of nodes."""
    costs = Costs()
    async with running_control(folder) as control, ClientSession() as session:
        editor = Editor(session, control.http)
        await editor.put_profile(PROFILE, 0)
        services = {service_name(number) for number in range(max(NODE_SIZES))}
        for service in sorted(services):
            await editor.follow(service, PROFILE)
        async with simulated_nodes(control.stream) as nodes:
            await nodes.grow(NODE_SIZES[0])
            await asyncio.sleep(REGISTRY_SETTLE_S)
            number = 1
            for size in NODE_SIZES:
                await nodes.grow(size)
                await asyncio.sleep(IDLE_S)
                await _measure_idle(control, nodes, costs)
                await _measure_changes(control, nodes, costs, editor, number)
                number += CHANGES
    return costs.slopes(ROLE, 'nodes')


async def _measure_idle(
    control: MeasuredControl,
    nodes: SimulatedNodes,
    costs: Costs,
) -> None:
    size = len(nodes.nodes)
    before, traffic_before = read_usage(control.process_id), nodes.traffic_bytes
    await asyncio.sleep(IDLE_S)
    after = read_usage(control.process_id)
    cpu_s = after.cpu_s - before.cpu_s
    added_bytes = nodes.traffic_bytes - traffic_before
    costs.add('resident memory', 'MiB', size, after.resident_mib)
    costs.add('idle processor time', '% of a core', size, _core_percent(cpu_s))
    costs.add('idle traffic', 'bytes/s', size, added_bytes / IDLE_S)


async def _measure_changes(
    control: MeasuredControl,
    nodes: SimulatedNodes,
    costs: Costs,
    editor: Editor,
    number: int,
) -> None:
    size = len(nodes.nodes)
    cpu_before_s = read_usage(control.process_id).cpu_s
    traffic_before = nodes.traffic_bytes
    started_s = time.monotonic()
    for expected in range(number, number + CHANGES):
        await editor.put_profile(PROFILE, expected)
        await asyncio.sleep(CHANGE_INTERVAL_S)
    await asyncio.sleep(1)
    duration_s = time.monotonic() - started_s
    cpu_s = read_usage(control.process_id).cpu_s - cpu_before_s
    cpu_s -= duration_s * costs.last('idle processor time') / 100
    added_bytes = nodes.traffic_bytes - traffic_before
    added_bytes -= int(duration_s * costs.last('idle traffic'))
    costs.add(
        'processor time a change of all services',
        'ms',
        size,
        cpu_s / CHANGES * 1000,
    )
    costs.add(
        'traffic a change of all services',
        'bytes',
        size,
        added_bytes / CHANGES,
    )


async def measure_edits(folder: Path) -> list[Slope]:
    """Measure a voter after several numbers of edits."""
    costs = Costs()
    async with running_control(folder) as control, ClientSession() as session:
        editor = Editor(session, control.http)
        edit_count = 0
        before = read_usage(control.process_id)
        for size in EDIT_SIZES:
            while edit_count < size:
                await editor.put_profile(PROFILE, edit_count)
                edit_count += 1
            after = read_usage(control.process_id)
            cpu_s = after.cpu_s - before.cpu_s
            costs.add('processor time of edits', 's', size, cpu_s)
            costs.add('resident memory', 'MiB', size, after.resident_mib)
            costs.add('disk', 'bytes', size, _disk_bytes(control.folder))
    return costs.slopes('voter', 'edits')


def _core_percent(cpu_s: float) -> float:
    return cpu_s / IDLE_S * 100


def _disk_bytes(folder: Path) -> int:
    files = (folder / 'data').rglob('*')
    return sum(path.stat().st_size for path in files if path.is_file())

"""Costs of a control instance against nodes and edits."""

import asyncio
import time
from pathlib import Path
from typing import Final

from aiohttp import ClientSession

from benchmarks.capacity.fitting import Costs, Slope
from benchmarks.capacity.light_nodes import LightNodes, light_nodes
from benchmarks.capacity.meshes import (
    Editor,
    MeasuredControl,
    running_control,
    service_of,
)
from benchmarks.capacity.processes import usage_of

NODE_SIZES: Final = (60, 120, 240, 480)
EDIT_SIZES: Final = (100, 200, 400, 800)
IDLE_S: Final = 4.0
# After its start an instance waits for nodes that may still come back.
REGISTRY_SETTLES_S: Final = 12.0
CHANGES: Final = 40
CHANGE_GAP_S: Final = 0.05
ROLE: Final = 'control instance'
PROFILE: Final = 'measured'


async def measure_nodes(folder: Path) -> list[Slope]:
    """Measure a control instance at several numbers of nodes."""
    costs = Costs()
    async with running_control(folder) as control, ClientSession() as session:
        editor = Editor(session, control.http)
        await editor.put_profile(PROFILE, 0)
        services = {service_of(number) for number in range(max(NODE_SIZES))}
        for service in sorted(services):
            await editor.follow(service, PROFILE)
        async with light_nodes(control.stream) as nodes:
            await nodes.grow(NODE_SIZES[0])
            await asyncio.sleep(REGISTRY_SETTLES_S)
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
    nodes: LightNodes,
    costs: Costs,
) -> None:
    size = len(nodes.nodes)
    before, traffic = usage_of(control.process_id), nodes.traffic_bytes
    await asyncio.sleep(IDLE_S)
    after = usage_of(control.process_id)
    spent_s = after.cpu_s - before.cpu_s
    spent_bytes = nodes.traffic_bytes - traffic
    costs.add('resident memory', 'MiB', size, after.resident_mib)
    costs.add('idle processor time', '% of a core', size, _percent(spent_s))
    costs.add('idle traffic', 'bytes/s', size, spent_bytes / IDLE_S)


async def _measure_changes(
    control: MeasuredControl,
    nodes: LightNodes,
    costs: Costs,
    editor: Editor,
    number: int,
) -> None:
    size = len(nodes.nodes)
    before_s = usage_of(control.process_id).cpu_s
    traffic = nodes.traffic_bytes
    started_s = time.monotonic()
    for expected in range(number, number + CHANGES):
        await editor.put_profile(PROFILE, expected)
        await asyncio.sleep(CHANGE_GAP_S)
    await asyncio.sleep(1)
    took_s = time.monotonic() - started_s
    spent_s = usage_of(control.process_id).cpu_s - before_s
    spent_s -= took_s * costs.newest('idle processor time') / 100
    spent_bytes = nodes.traffic_bytes - traffic
    spent_bytes -= int(took_s * costs.newest('idle traffic'))
    costs.add(
        'processor time a change of all services',
        'ms',
        size,
        spent_s / CHANGES * 1000,
    )
    costs.add(
        'traffic a change of all services',
        'bytes',
        size,
        spent_bytes / CHANGES,
    )


async def measure_edits(folder: Path) -> list[Slope]:
    """Measure a voter at several numbers of edits."""
    costs = Costs()
    async with running_control(folder) as control, ClientSession() as session:
        editor = Editor(session, control.http)
        done = 0
        before = usage_of(control.process_id)
        for size in EDIT_SIZES:
            while done < size:
                await editor.put_profile(PROFILE, done)
                done += 1
            after = usage_of(control.process_id)
            spent_s = after.cpu_s - before.cpu_s
            costs.add('processor time of edits', 's', size, spent_s)
            costs.add('resident memory', 'MiB', size, after.resident_mib)
            costs.add('disk', 'bytes', size, _disk_bytes(control.folder))
    return costs.slopes('voter', 'edits')


def _percent(spent_s: float) -> float:
    return spent_s / IDLE_S * 100


def _disk_bytes(folder: Path) -> int:
    files = (folder / 'data').rglob('*')
    return sum(path.stat().st_size for path in files if path.is_file())

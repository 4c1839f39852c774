"""Costs of the operators' client by number of listed nodes."""

import asyncio
import os
import subprocess
import sys
import time
from pathlib import Path
from typing import Final

from aiohttp import web

from benchmarks.capacity.fitting import Costs, Slope
from benchmarks.capacity.meshes import free_address

NODE_SIZES: Final = (350, 700, 1400, 2800)
RUNS: Final = 3
KIB_PER_MIB: Final = 1024
BINARY: Final = Path(sys.executable).parent / 'mustardspur'


async def measure_client(folder: Path) -> list[Slope]:
    """Measure ``mustardspur service`` with several numbers of nodes."""
    costs = Costs()
    folder.mkdir(parents=True)
    for size in NODE_SIZES:
        address = free_address()
        runner = web.AppRunner(_control_application(size))
        await runner.setup()
        host, _, port = address.rpartition(':')
        await web.TCPSite(runner, host, int(port)).start()
        runs = [
            await asyncio.to_thread(_run_client, address, folder)
            for _ in range(RUNS)
        ]
        await runner.cleanup()
        times, peaks = zip(*runs, strict=True)
        costs.add('time of a listing', 's', size, min(times))
        costs.add('peak memory', 'MiB', size, min(peaks))
    return costs.slopes('client', 'nodes listed')


def _run_client(address: str, folder: Path) -> tuple[float, float]:
    """Run the client; return its time in s and its peak memory in MiB."""
    started_s = time.monotonic()
    process = subprocess.Popen(
        [
            str(BINARY),
            'service',
            'measured',
            '--control',
            address,
            '--state-dir',
            str(folder),
        ],
        stdout=subprocess.DEVNULL,
    )
    _, status, usage = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    return time.monotonic() - started_s, usage.ru_maxrss / KIB_PER_MIB


def _control_application(size: int) -> web.Application:
    nodes = [
        {
            'node': f'node-{number}',
            'data_centre': 'split-a',
            'index': 7,
            'pending_index': 7,
            'reason': '',
        }
        for number in range(size)
    ]
    body = {
        'service': 'measured',
        'profile': 'measured',
        'number': 3,
        'accepted_index': 7,
        'in_force_everywhere': True,
        'nodes': nodes,
        'moves': [],
        'read_index': 7,
        'possibly_stale': False,
        'stale_reason': '',
    }

    async def factory(request: web.Request) -> web.Response:
        return web.json_response(body)

    application = web.Application()
    application.router.add_get('/v1/services/measured', factory)
    return application

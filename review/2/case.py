"""A foreign status report with a service that no manifest names."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

from deployment import (
    call,
    manifest,
    new_id,
    route,
    run_case,
    send_report,
)

# Requests that the clients of each machine send after the report.
REQUESTS = 20
GAP_S = 0.1


async def main(deployment, trouble):
    """Return the runs with a wrong `Caller-Service`."""
    for zone in ('split-a', 'osijek-a', 'zadar-a'):
        deployment.add_core(zone)
    struck = deployment.add_side('split-a', 'forms')
    deployment.add_side('osijek-a', 'forms')
    deployment.add_side('zadar-a', 'stamps')
    routes = {'r-a': route('/a/', 'forms'), 'r-b': route('/b/', 'stamps')}
    await deployment.start(manifest(1, routes, ('forms', 'stamps')))
    await asyncio.sleep(4)
    if trouble:
        body = {
            **deployment.back_ends[0].report_body(),
            'service': 'nobody',
            'born': time.time_ns() // 1_000_000,
            'sequence': 1,
        }
        status = await send_report(struck, f'i-{new_id()}', body)
        deployment.note('foreign report', machine=struck.ip, status=status)
        await asyncio.sleep(1)
    services = {}
    for number in range(REQUESTS):
        for machine in deployment.sides:
            path = '/a/x' if number % 2 else '/b/x'
            sent, _ = await call(deployment, machine, f'GET {path}')
            services[sent] = machine.service
        await asyncio.sleep(GAP_S)
    return [
        f'{run["id"]} ran with Caller-Service {run["caller"]!r}, it began on a '
        f'machine of {services[run["id"]]!r}'
        for back_end in deployment.back_ends
        for run in back_end.runs
        if run['id'] in services and run['caller'] != services[run['id']]
    ]


run_case(main, 'foreign-report', FOLDER)

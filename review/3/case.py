"""The last tenant's key is taken away, and still opens the routes."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

from deployment import (
    HOST,
    CannotRun,
    manifest,
    new_id,
    route,
    run_case,
)
from http11 import connect, encode, read_message

CONFIG_APPLY_S = 2.5
REQUESTS = 20
KEY = 'key-of-north'
# A key that no manifest ever held.
UNKNOWN_KEY = 'key-of-nobody'


async def main(deployment, trouble):
    """Return the runs that the manifest without a tenant forbids."""
    for zone in ('split-a', 'osijek-a', 'zadar-a'):
        deployment.add_core(zone)
    machine = deployment.add_side('split-a', 'forms')
    deployment.add_side('osijek-a', 'forms')
    config = manifest(1, {'r-a': route('/a/', 'forms')}, ('forms',))
    config['tenants'] = {'north': {'name': 'north', 'api_keys': [KEY]}}
    seen = {}
    await deployment.start(config)
    for back_end in deployment.back_ends:
        back_end.answer = _noting(back_end, seen)
    await asyncio.sleep(4)
    channel = await connect(machine.address('outbound'))
    if await _status(deployment, channel, KEY) != 200:
        raise CannotRun('the key does not open the route')
    if await _status(deployment, channel, UNKNOWN_KEY) != 401:
        raise CannotRun('an unknown key is not refused')
    seen.clear()
    later = {**config, 'version': 'r3'}
    if trouble:
        later['tenants'] = {}
    else:
        later['tenants'] = {'north': {'name': 'north', 'api_keys': []}}
    if await deployment.put_config(later, 'r1') != 200:
        raise CannotRun('the later manifest is refused')
    await asyncio.sleep(CONFIG_APPLY_S + 0.5)
    for number in range(REQUESTS):
        key = UNKNOWN_KEY if number % 2 else KEY
        await _status(deployment, channel, key)
    return sorted(
        f'request {name} with a withdrawn or unknown key ran; the server got '
        f'Authorization {key!r} and Tenant {tenant!r}'
        for name, (key, tenant) in seen.items()
    )


def _noting(back_end, seen):
    async def answer(request, reader, writer):
        seen[request.header('request-id')] = (
            request.header('authorization'),
            request.header('tenant'),
        )
        return await back_end.answer_soundly(request, reader, writer)

    return answer


async def _status(deployment, channel, key):
    reader, writer = channel
    request_id = new_id()
    headers = [
        ('Host', HOST),
        ('Request-Id', request_id),
        ('Deadline-Ms', '2500'),
        ('Authorization', f'Bearer {key}'),
        ('Tenant', 'south'),
    ]
    deployment.note('sent', id=request_id, key=key, tenant='south')
    writer.write(encode('GET /a/x HTTP/1.1', headers))
    async with asyncio.timeout(5):
        answer = await read_message(reader, is_answer=True)
    deployment.note('answered', id=request_id, status=answer.status)
    return answer.status


run_case(main, 'last-tenant', FOLDER)

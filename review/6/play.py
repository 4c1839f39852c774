"""Pipelined idempotent requests that are never answered."""

import asyncio
import os
import sys
import time
from pathlib import Path

from standins.client import Channel, client_request, new_id, until_served
from standins.deployment import Deployment
from standins.operator import Operator, route
from standins.server import Server
from standins.wire import ERRORS, read_answer

RECORD = Path(__file__).with_name('record.txt')
TROUBLE = os.environ.get('TROUBLE') != '0'
TIMEOUT_S = 1.0
# The bound of the rule: the timeout of the route and half a second.
BOUND_S = TIMEOUT_S + 0.5
WATCHED_S = 4.0
CHANNELS = 12
# Channels that are open at a time.
AT_A_TIME = 3
PATH = '/drafts/1'
# Requests that a client sends in one write before it sends another one.
BURST = 40
PAUSE_S = 0.02
# Lengths of a body in front of two further requests.
BODY_BYTES = range(16_050, 16_170, 10)


class Request:
    """A request of a client, with the times of its end and of its answer."""

    def __init__(self, method='GET', body=b''):
        self.id = new_id()
        self.method = method
        self.bytes = client_request(self.id, PATH, method, body)
        self.sent_s = 0.0
        self.answered_s = None
        self.status = None

    def is_late(self, now_s):
        """Whether it lasted longer than its route's timeout."""
        return (self.answered_s or now_s) - self.sent_s > TIMEOUT_S

    def is_broken(self, now_s):
        """Whether it had no answer half a second after the timeout."""
        return (self.answered_s or now_s) - self.sent_s > BOUND_S


def write(channel, requests):
    """Write requests at once."""
    channel.writer.write(b''.join(each.bytes for each in requests))
    for each in requests:
        each.sent_s = time.monotonic()


async def read(channel, request):
    """Read the answer to a request."""
    answer = await read_answer(channel.reader)
    if answer.headers.get('request-id') != request.id:
        raise ValueError(f'answer to {answer.headers} where {request.id} was due')
    request.answered_s = time.monotonic()
    request.status = answer.status


async def play(deployment, ip, writes):
    """Send the writes on one channel and read the answers in their order."""
    channel = await Channel.open(deployment, ip)
    requests = [each for group in writes for each in group]
    try:
        async with asyncio.timeout(WATCHED_S):
            if TROUBLE:
                for group in writes:
                    write(channel, group)
                    await asyncio.sleep(PAUSE_S)
            for each in requests:
                if not TROUBLE:
                    write(channel, [each])
                await read(channel, each)
    except ERRORS as error:
        return repr(error)
    finally:
        channel.close()
    return ''


def sequences():
    """Return the writes of each channel, with a name."""
    for number in range(CHANNELS):
        burst = [Request() for _ in range(BURST)]
        yield f'{BURST} GET, one more GET, channel {number}', [burst, [Request()]]
    for size in BODY_BYTES:
        body = b'x' * size
        yield f'PUT of {size} bytes, 2 GET', [[Request('PUT', body), Request(), Request()]]


async def main():
    """Play all sequences; return the exit code."""
    deployment = Deployment([('forms', 'split-a'), ('forms', 'osijek-a'), ('forms', 'zadar-a')])
    servers = [Server(deployment, ip, slots=30) for ip in deployment.sidecars]
    try:
        await deployment.start_all()
        for server in servers:
            await server.start()
        operator = Operator(deployment)
        routes = {'drafts': route('forms', '/drafts/', 'idempotent', int(TIMEOUT_S * 1000), 400)}
        await operator.put_manifest(routes, ['forms'])
        for ip in deployment.sidecars:
            await until_served(deployment, ip, PATH)
        ip = next(iter(deployment.sidecars))
        open_channels = asyncio.Semaphore(AT_A_TIME)

        async def play_one(name, writes):
            async with open_channels:
                error = await play(deployment, ip, writes)
            return name, writes, error, time.monotonic()

        played = await asyncio.gather(*(play_one(*each) for each in sequences()))
        return report(played, servers, deployment)
    finally:
        for server in servers:
            await server.stop()
        await deployment.close()


def report(played, servers, deployment):
    """Write the record and return the exit code."""
    run_ids = {run[3] for server in servers for run in server.runs}
    late = broken = sent = 0
    lines = []
    for name, writes, error, ended_s in played:
        requests = [each for group in writes for each in group]
        unanswered = [each for each in requests if each.status is None]
        sent += len(requests)
        late += sum(each.is_late(ended_s) for each in requests)
        broken += sum(each.is_broken(ended_s) for each in requests)
        lines.append(
            f'{name}: sent {len(requests)}, answered {len(requests) - len(unanswered)}, '
            f'run {sum(each.id in run_ids for each in requests)}, '
            f'statuses {sorted({each.status for each in requests if each.status})} {error}'
        )
        lines.extend(
            f'  {each.method} {each.id} sent, not answered in {ended_s - each.sent_s:.2f} s, '
            f'run: {each.id in run_ids}'
            for each in unanswered
        )
    is_broken = broken >= 8 and broken * 4 > late
    ended = deployment.ended_by_themselves()
    lines.append(f'processes that ended by themselves: {ended}')
    lines.append(
        f'{sent} requests sent, {late} lasted longer than the timeout of {TIMEOUT_S} s, '
        f'{broken} of them had no answer at {BOUND_S} s: '
        f'rule {"broken" if is_broken else "held"}'
    )
    RECORD.write_text('\n'.join(lines) + '\n', 'utf-8')
    print(lines[-1])
    return 1 if is_broken else 0


if __name__ == '__main__':
    try:
        code = asyncio.run(main())
    except Exception as error:
        print(f'the case could not run: {error!r}')
        RECORD.write_text(f'the case could not run: {error!r}\n', 'utf-8')
        code = 2
    sys.exit(code)

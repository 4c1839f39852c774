"""An application server beside a machine's process."""

import asyncio
import random
import time

from standins.wire import ERRORS, call, read_head


class Server:
    """Runs requests and reports its status, as the pages say.

    Parameters
    ----------
    deployment : Deployment
        The deployment.
    ip : str
        Machine of the server.
    version : str
        Version of its software.
    work_s : float
        Time that a request takes.

    Attributes
    ----------
    runs : list of tuple
        Time, method, path and id of each request that ran.
    failed_s : list of float
        Times of the answers with 500.
    fails : callable
        Whether a request is answered with 500 after it has run.
    """

    def __init__(self, deployment, ip, version='v1', work_s=0.05, slots=9):
        self._deployment = deployment
        self._ip = ip
        self._service, self._zone = deployment.sidecars[ip]
        self._slots = slots
        self._work_s = work_s
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._tasks = []
        self._writers = set()
        self._listener = None
        self._free_slots = asyncio.Semaphore(slots)
        self.id = f'i-{random.getrandbits(40):010x}'
        self.version = version
        self.state = 'ready'
        self.runs = []
        self.failed_s = []
        self.fails = lambda: False

    async def start(self):
        """Listen and start to report the status."""
        port = self._deployment.ports['app']
        self._listener = await asyncio.start_server(self._serve, self._ip, port)
        self._tasks.append(asyncio.create_task(self._report()))

    async def send_report(self):
        """Send one status report; return whether it was acknowledged."""
        self._sequence += 1
        return await self._call(
            'PUT',
            {
                'service': self._service,
                'address': self._deployment.address(self._ip, 'app'),
                'zone': self._zone,
                'version': self.version,
                'slots': self._slots,
                'state': self.state,
                'cold_remaining': '0ms',
                'sequence': self._sequence,
                'born': self._born,
            },
        )

    async def send_removal(self):
        """Say that the server leaves; return whether it was acknowledged."""
        return await self._call('DELETE')

    async def stop(self):
        """End the server with its channels."""
        for task in self._tasks:
            task.cancel()
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _report(self):
        while True:
            await self.send_report()
            await asyncio.sleep(0.87)

    async def _call(self, method, document=None):
        address = self._deployment.address(self._ip, 'control')
        path = f'/api/instances/{self.id}'
        try:
            answer = await call(address, method, path, document)
        except ERRORS:
            return False
        return 200 <= answer.status < 300

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                await self._answer_next(reader, writer)
        except ERRORS:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer_next(self, reader, writer):
        first, headers = await read_head(reader)
        method, path, _ = first.split(' ', 2)
        await reader.readexactly(int(headers.get('content-length', 0)))
        request_id = headers.get('request-id', '')
        if path == '/healthz':
            status = 200 if self.state == 'ready' else 503
            writer.write(_answer(status, [('Instance-Id', self.id)]))
            return
        if headers.get('expected-instance', self.id) != self.id:
            named = [('Request-Id', request_id), ('Not-Executed', '1')]
            writer.write(_answer(421, named))
            return
        async with self._free_slots:
            self.runs.append((time.monotonic(), method, path, request_id))
            await asyncio.sleep(self._work_s)
        status = 200
        if self.fails():
            status = 500
            self.failed_s.append(time.monotonic())
        named = [('Request-Id', request_id), ('Response-Signature', f's.{request_id}')]
        writer.write(_answer(status, named, f'{self.id} {request_id}'.encode()))


def _answer(status, headers, body=b''):
    lines = [f'HTTP/1.1 {status} Status']
    lines.extend(f'{name}: {text}' for name, text in headers)
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '\r\n']).encode() + body

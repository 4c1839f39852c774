"""Stand-in target: a small HTTP server that announces itself to its node.

Run as ``python -m demo.target --settings FILE``. It records each run of a
non-idempotent call in a file, so that the demo can detect duplicates.
"""

import argparse
import asyncio
import json
import random
import sys
import time
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager, suppress
from pathlib import Path
from typing import Final

from aiohttp import ClientError, ClientSession, ClientTimeout, web
from mustardspur_core.conversion import decode_mapping
from mustardspur_core.event_loop import run_in_loop, stop_event
from mustardspur_core.record import Record
from mustardspur_core.state import TargetState

ANNOUNCE_INTERVAL_S: Final = 0.5
DRAIN_NOTICE_S: Final = 2.5
STATUS_FAULT: Final = 500
MAX_POST_BYTES: Final = 65536
NS_PER_MS: Final = 1_000_000


class TargetSettings(Record):
    """Settings of a stand-in target.

    Parameters
    ----------
    fault_share : float
        Share of calls that are answered with status 500.
    fault_after_s : float
        Seconds from the start to the first fault.
    work_s : float
        Time that a call takes, in seconds.
    runs : str
        File that gets a line for each run of a non-idempotent call.
    """

    __slots__ = (
        'id',
        'service',
        'version',
        'address',
        'node',
        'slots',
        'fault_share',
        'fault_after_s',
        'work_s',
        'runs',
    )
    id: str
    service: str
    version: str
    address: str
    node: str
    slots: int
    fault_share: float
    fault_after_s: float
    work_s: float
    runs: str


class StandInTarget:
    """A target with slots, optional faults and graceful draining."""

    __slots__ = (
        '_incarnation',
        '_random',
        '_slots',
        '_started_s',
        'in_flight',
        'settings',
        'state',
    )

    def __init__(self, settings: TargetSettings) -> None:
        """Initialise as ready, without calls in flight."""
        self.settings = settings
        self.state = TargetState.READY
        self.in_flight = 0
        self._incarnation = time.time_ns() // NS_PER_MS
        self._random = random.Random(settings.id)
        self._slots = asyncio.Semaphore(settings.slots)
        self._started_s = time.monotonic()

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer a call with its identifier and the target's version."""
        with self._counted_in_flight():
            async with self._slots:
                return await self._run(request)

    def announcement(self) -> dict[str, object]:
        """Return the body of the announcement to the node."""
        return {
            'id': self.settings.id,
            'service': self.settings.service,
            'version': self.settings.version,
            'address': self.settings.address,
            'incarnation': self._incarnation,
            'slots': self.settings.slots,
            'state': str(self.state),
        }

    @contextmanager
    def _counted_in_flight(self) -> Iterator[None]:
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1

    async def _run(self, request: web.Request) -> web.StreamResponse:
        started_s = time.time()
        body = await request.read()
        await asyncio.sleep(self.settings.work_s)
        request_id = request.headers.get('x-request-id', '')
        if request.method == 'POST':
            self._record_run(request.headers.get('idempotency-key', request_id))
        status = STATUS_FAULT if self._is_faulty() else 200
        answer = {
            'request': request.query.get('call', ''),
            'version': self.settings.version,
            'target': self.settings.id,
            'started_s': started_s,
            'length': len(body),
        }
        return web.json_response(
            answer,
            status=status,
            headers={'x-request-id': request_id},
        )

    def _is_faulty(self) -> bool:
        age_s = time.monotonic() - self._started_s
        if age_s < self.settings.fault_after_s:
            return False
        return self._random.random() < self.settings.fault_share

    def _record_run(self, key: str) -> None:
        with Path(self.settings.runs).open('a', encoding='utf-8') as runs:
            runs.write(f'{key}\n')


async def serve_target(settings: TargetSettings) -> None:
    """Serve calls until SIGTERM or SIGINT, then drain.

    The target stays available for at least DRAIN_NOTICE_S, so that its node
    can learn that it is draining, and until no call is in flight.
    """
    stopped = stop_event()
    target = StandInTarget(settings)
    async with _serving(target), ClientSession() as session:
        announcing = asyncio.create_task(_announce(target, session))
        await stopped.wait()
        target.state = TargetState.DRAINING
        await asyncio.sleep(DRAIN_NOTICE_S)
        while target.in_flight:
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)
        announcing.cancel()


@asynccontextmanager
async def _serving(target: StandInTarget) -> AsyncIterator[None]:
    application = web.Application(client_max_size=MAX_POST_BYTES)
    application.router.add_route('*', '/{path:.*}', target.handle)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    host, _, port = target.settings.address.rpartition(':')
    try:
        await web.TCPSite(runner, host, int(port)).start()
        yield
    finally:
        await runner.cleanup()


async def _announce(
    target: StandInTarget,
    session: ClientSession,
) -> None:
    node = target.settings.node
    url = f'http://{node}/mustardspur/v1/targets'
    while True:
        with suppress(ClientError, TimeoutError):
            async with session.post(
                url,
                json=target.announcement(),
                timeout=ClientTimeout(total=1),
            ) as answer:
                if not answer.ok:
                    findings = await answer.text()
                    sys.stderr.write(f'refused: {findings}\n')
        await asyncio.sleep(ANNOUNCE_INTERVAL_S)


def main() -> None:
    """Read the settings file and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--settings', type=Path, required=True)
    path: Path = parser.parse_args().settings
    document = json.loads(path.read_text('utf-8'))
    run_in_loop(serve_target(decode_mapping(TargetSettings, document)))


if __name__ == '__main__':
    main()

"""Changes and transfers of a play, and what must be read after them."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any, Final

from aiohttp import ClientError, ClientTimeout

from tests.platform.final_faults.mesh import FaultyMesh
from tests.platform.mesh_processes import configuration

SERVICES: Final = ('forms', 'annexes', 'stamps')
Order = Callable[[str], Awaitable[bool]]
_LIMIT: Final = ClientTimeout(total=3)
_PAUSE_S: Final = 0.05
_OK: Final = 200
_MISSING: Final = 404
_CONFIGURATION: Final = '/api/config'


class Orders:
    """Sends changes and transfers, and checks what is read.

    Parameters
    ----------
    mesh : FaultyMesh
        The processes.
    random : random.Random
        Chooses instances and orders.

    Attributes
    ----------
    pause_s : float
        Longest time between two orders of a kind.
    document : Callable
        Returns a configuration by its number and a mark of its own.
    """

    def __init__(self, mesh: FaultyMesh, random: Random) -> None:
        """Initialise before the first order."""
        self.pause_s = _PAUSE_S
        self.document = document
        self.hosts: list[str] = []
        self.broken: list[str] = []
        # Number of the newest acknowledged configuration.
        self.acked = 0
        self.acked_versions = dict.fromkeys(SERVICES, 0)
        self.acks = 0
        self.last_acking_host = ''
        self.has_acked = asyncio.Event()
        self.has_sent = asyncio.Event()
        self._mesh = mesh
        self._random = random
        self._marks: dict[int, set[str]] = {}
        self._sent_versions = dict.fromkeys(SERVICES, 0)
        self._ended_versions = dict.fromkeys(SERVICES, 0)
        self._number = 0
        self._changes = 0

    async def change(self, host: str) -> bool:
        """Send a change; return whether it was acknowledged."""
        number = self._number + self._random.randint(1, 3)
        self._changes += 1
        mark = f'mark-{self._changes}'
        self._marks.setdefault(number, set()).add(mark)
        _notify(self.has_sent)
        status, _ = await self._send(
            'PUT',
            host,
            _CONFIGURATION,
            json=self.document(number, mark),
            headers={'If-Match': f'r{self._number}'},
        )
        if status == _OK:
            self._number = number
            self.acked = max(self.acked, number)
            self._note_ack(host)
            return True
        status, body = await self._send('GET', host, _CONFIGURATION)
        if status == _OK:
            self._number = _number_of(json.loads(body)['version'])
        return False

    async def transfer(self, host: str) -> bool:
        """Order a transfer; return whether it was acknowledged."""
        service = self._random.choice(SERVICES)
        version = self._sent_versions[service] + 1
        self._sent_versions[service] = version
        _notify(self.has_sent)
        status, _ = await self._send(
            'POST',
            host,
            '/api/rollouts',
            json={
                'service': service,
                'target_version': f'v{version}',
                'duration': self._random.choice(('1s', '4s')),
            },
        )
        if status == _OK:
            self.acked_versions[service] = version
            self._note_ack(host)
        return status == _OK

    async def order_all_the_time(self) -> None:
        """Send changes and transfers, and read, until cancelled."""
        await asyncio.gather(*map(self._repeat, self._functions()))

    async def read(self, host: str) -> bool:
        """Read everything at an instance; return whether it all came."""
        came = await asyncio.gather(
            self._read_configuration(host, self.acked),
            *(self._read_transfer(host, service) for service in SERVICES),
        )
        return all(came)

    async def _read_configuration(self, host: str, acked: int) -> bool:
        status, body = await self._send('GET', host, _CONFIGURATION)
        if status == _OK:
            table = json.loads(body)
            number = _number_of(table['version'])
            if number < acked:
                self.broken.append(f'{host}: r{number} read, r{acked} acked')
            if not self._marks.get(number, set()) & set(table['routes']):
                self.broken.append(f'{host}: r{number} is not what was sent')
        elif status == _MISSING and acked:
            self.broken.append(f'{host}: nothing read, r{acked} acked')
        return status in {_OK, _MISSING}

    async def _read_transfer(self, host: str, service: str) -> bool:
        acked = self.acked_versions[service]
        ended = self._ended_versions[service]
        status, body = await self._send('GET', host, f'/api/rollouts/{service}')
        if status == _OK:
            transfer = json.loads(body)
            version = _number_of(transfer['target_version'])
            found = f'{host}: v{version} of {service} {transfer["state"]}'
            if version < acked:
                self.broken.append(f'{found}, v{acked} acked')
            if transfer['state'] != 'running':
                self._ended_versions[service] = max(
                    version, self._ended_versions[service]
                )
            elif version <= ended:
                self.broken.append(f'{found} again')
        elif status == _MISSING and acked:
            self.broken.append(f'{host}: no {service}, v{acked} acked')
        return status in {_OK, _MISSING}

    def _functions(self) -> list[Order]:
        return [self.change, self.transfer, self.read]

    async def _repeat(self, order: Order) -> None:
        while True:
            await order(self._random.choice(self.hosts))
            await asyncio.sleep(self._random.uniform(0, self.pause_s))

    async def _send(
        self, method: str, host: str, path: str, **options: Any
    ) -> tuple[int, bytes]:
        url = self._mesh.url(host, 'http', path)
        try:
            async with self._mesh.session.request(
                method, url, timeout=_LIMIT, **options
            ) as answer:
                return answer.status, await answer.read()
        except (ClientError, TimeoutError):
            # The instance is down, frozen or without a quorum.
            return 0, b''

    def _note_ack(self, host: str) -> None:
        self.acks += 1
        self.last_acking_host = host
        _notify(self.has_acked)


def _notify(event: asyncio.Event) -> None:
    event.set()
    event.clear()


def _number_of(version: str) -> int:
    return int(version[1:])


def document(number: int, mark: str) -> dict[str, Any]:
    """Return a configuration with a route that no other one has."""
    table = configuration(number)
    drafts = table['routes']['drafts']
    table['routes'][mark] = {**drafts, 'path_prefix': f'/{mark}/'}
    for service in SERVICES:
        table['services'][service] = table['services']['forms']
    return table

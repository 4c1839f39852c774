"""Measures the time from the loss of a leader to the next accepted edit."""

import asyncio
import json
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any, Final

from aiohttp import ClientError, ClientSession, ClientTimeout
from mustardspur_core.record import Record

from benchmarks.capacity.meshes import EXAMPLE_PROFILE, free_address
from benchmarks.capacity.processes import BINARY

VOTERS: Final = 3
KILLS: Final = 5
RETRY_INTERVAL_S: Final = 0.02
SETTLE_S: Final = 3.0
PROFILE: Final = 'measured'
CALL_TIMEOUT_S: Final = 2.0
STATUS_OK: Final = 200


class LeaderLoss(Record):
    """Times from the kill of a leader to the next accepted edit."""

    __slots__ = ('median_s', 'longest_s', 'times_s')
    median_s: float
    longest_s: float
    times_s: list[float]


class Voters:
    """Real control instances that vote, and a client that edits.

    Parameters
    ----------
    folder : Path
        Folder for settings and data.
    session : ClientSession
        Session for the edits, with their timeout.
    """

    __slots__ = ('_folder', '_number', '_peers', '_processes', '_session')

    def __init__(self, folder: Path, session: ClientSession) -> None:
        """Initialise the addresses of the instances."""
        self._folder = folder
        self._session = session
        self._number = 0
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._peers = [
            {
                'id': f'c{number}',
                'stream': free_address(),
                'http': free_address(),
                'data_centre': f'dc{number}',
                'region': 'r1',
                'voter': True,
            }
            for number in range(VOTERS)
        ]

    async def start(self, peer: dict[str, Any]) -> None:
        """Start an instance."""
        document = {
            'role': 'control',
            'id': peer['id'],
            'data_centre': peer['data_centre'],
            'region': peer['region'],
            'data_dir': str(self._folder / peer['id']),
            'listen': {'stream': peer['stream'], 'http': peer['http']},
            'peers': self._peers,
        }
        path = self._folder / f'{peer["id"]}.json'
        path.write_text(json.dumps(document), encoding='utf-8')
        self._processes[peer['id']] = await asyncio.create_subprocess_exec(
            str(BINARY),
            '--settings',
            str(path),
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )

    async def start_all(self) -> None:
        """Start all instances and wait for the first accepted edit."""
        await asyncio.gather(*map(self.start, self._peers))
        await self.edit()

    async def kill_leader(self) -> float:
        """Kill and restart the leader.

        Returns
        -------
        float
            Seconds from the kill to the next accepted edit.
        """
        leader = await self.edit()
        process = self._processes.pop(leader['id'])
        process.kill()
        killed_s = time.monotonic()
        await process.wait()
        await self.edit()
        duration_s = time.monotonic() - killed_s
        await self.start(leader)
        await asyncio.sleep(SETTLE_S)
        return duration_s

    async def edit(self) -> dict[str, Any]:
        """Edit at each instance in turn; return the leader, which accepts."""
        while True:
            for peer in self._peers:
                if await self._accepts(str(peer['http'])):
                    self._number += 1
                    return peer
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def stop(self) -> None:
        """Stop all instances."""
        for process in self._processes.values():
            process.terminate()
            await process.wait()

    async def _accepts(self, address: str) -> bool:
        document = json.loads(EXAMPLE_PROFILE.read_text('utf-8')) | {
            'name': PROFILE
        }
        body = {
            'edit_id': f'edit-{self._number}',
            'operator': 'bench',
            'expected_number': self._number,
            'profile': document,
        }
        url = f'http://{address}/v1/profiles/{PROFILE}'
        try:
            async with self._session.put(url, json=body) as response:
                return response.status == STATUS_OK
        except (ClientError, TimeoutError):
            return False


async def _measure() -> LeaderLoss:
    timeout = ClientTimeout(total=CALL_TIMEOUT_S)
    with tempfile.TemporaryDirectory() as folder:
        async with ClientSession(timeout=timeout) as session:
            voters = Voters(Path(folder), session)
            await voters.start_all()
            times = [await voters.kill_leader() for _ in range(KILLS)]
            await voters.stop()
    return LeaderLoss(
        median_s=statistics.median(times),
        longest_s=max(times),
        times_s=times,
    )


def measure_leader_loss() -> LeaderLoss:
    """Kill the leader of three real control instances repeatedly."""
    return asyncio.run(_measure())

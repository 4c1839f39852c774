"""The instances of one play, and what its faults do to them."""

import asyncio
import signal
import time
from contextlib import suppress
from itertools import repeat
from random import Random
from typing import Final

from tests.platform.final_faults.mesh import FaultyMesh
from tests.platform.final_faults.orders import Orders
from tests.platform.mesh_processes import HANG_LIMIT_S, last_lines

CONTROLS: Final = ('127.0.7.1', '127.0.7.2', '127.0.7.3', '127.0.7.4')
NEW_CONTROLS: Final = ('127.0.7.5', '127.0.7.6', '127.0.7.7')
# Time after which a further loss is allowed for.
CATCH_UP_S: Final = 4.0
START_SPREAD_S: Final = 0.3
READ_S: Final = 25.0
SYNC_S: Final = (0, 0.01, 0.03)
POLL_S: Final = 0.25
# Without a quorum there is no ack.
_ACK_LIMIT_S: Final = 2.0
_SNAPSHOT_ENTRIES: Final = (20, 4096)


class Play:
    """Four control instances under the faults of one seed.

    Parameters
    ----------
    mesh : FaultyMesh
        The processes.
    random : random.Random
        Chooses the faults.
    """

    def __init__(self, mesh: FaultyMesh, random: Random) -> None:
        """Initialise before the first start."""
        self.mesh = mesh
        self.random = random
        self.orders = Orders(mesh, random)
        self.orders.hosts = list(CONTROLS)
        self.steps: list[str] = []
        # Processes that ended without having been stopped.
        self.ended: list[str] = []
        self.new_controls = list(NEW_CONTROLS)
        # First voters that are stopped before they have written anything.
        self.absent: list[str] = []
        mesh.launcher.snapshot_entries = random.choice(_SNAPSHOT_ENTRIES)
        port = mesh.ports['http']
        self.seeds = [f'{host}:{port}' for host in random.sample(CONTROLS, 3)]
        self._started_s = time.monotonic()

    def note(self, step: str) -> None:
        """Note a step of the play with its time."""
        at_s = time.monotonic() - self._started_s
        self.steps.append(f'{at_s:.2f} {step}')

    async def start(self, host: str, *, first_start: bool = False) -> None:
        """Start a control instance with the seeds of the play."""
        await self.mesh.start_control(
            host, first_start=first_start, seeds=self.seeds
        )

    async def start_all(self, *, first_start: bool = False) -> None:
        """Start all control instances within 0.3 s, in any order.

        Those that were left out at the first start take part from the next.
        """
        if not first_start:
            self.orders.hosts.extend(self.absent)
            self.absent.clear()
        await asyncio.gather(
            *(
                self._start_later(host, first_start)
                for host in self.orders.hosts
            )
        )

    async def until_counting(self) -> None:
        """Wait until a change is accepted and all instances count."""
        hosts = self.orders.hosts
        async with asyncio.timeout(HANG_LIMIT_S):
            while not await self.orders.change(hosts[0]):
                await asyncio.sleep(POLL_S)
            # Also before a restart, after which it is not logged again.
            while not all(_has_counted(self, each) for each in hosts):
                await asyncio.sleep(POLL_S)
        self.note('formed')
        # The last of the four is added as a voter after that.
        await asyncio.sleep(CATCH_UP_S)

    async def until_caught_up(self, host: str, event: str) -> None:
        """Wait for the time of a catch-up, and until an instance counts."""
        await self.mesh.until_logged(host, '"started"')
        started_s = time.monotonic()
        try:
            await self.mesh.until_logged(host, event)
        except TimeoutError:
            self.orders.broken.append(f'{host} did not log {event}')
        taken_s = time.monotonic() - started_s
        self.note(f'{host} logged {event} after {taken_s:.1f} s')
        await asyncio.sleep(max(CATCH_UP_S - taken_s, 0))

    async def until_ack(self) -> None:
        """Wait until just after an ack, or shortly after an order was sent."""
        event = self.random.choice(
            (self.orders.has_sent, *repeat(self.orders.has_acked, 4))
        )
        with suppress(TimeoutError):
            await asyncio.wait_for(event.wait(), _ACK_LIMIT_S)
        await asyncio.sleep(self.random.choice((0, 0, 0.002, 0.02, 0.1)))
        orders = self.orders
        self.note(f'r{orders.acked} {orders.acked_versions}')

    async def end(self, host: str) -> None:
        """Kill an instance."""
        code = await self.mesh.end(host)
        if code is not None:
            self._note_end(host, code)

    async def end_all(self) -> None:
        """Kill all instances at once."""
        await asyncio.gather(*map(self.end, self.orders.hosts))

    async def restart_ended(self) -> None:
        """Start processes that ended by themselves again, until cancelled."""
        while True:
            await asyncio.sleep(POLL_S)
            ended = {
                host: self.mesh.processes[host].returncode
                for host in self.orders.hosts
                if host in self.mesh.processes
            }
            again = [host for host in ended if ended[host] is not None]
            for host in again:
                self._note_end(host, ended[host] or 0)
            await asyncio.gather(*map(self.start, again))

    def signal(self, host: str, number: signal.Signals) -> None:
        """Send a signal to an instance that runs."""
        with suppress(ProcessLookupError, KeyError):
            self.mesh.processes[host].send_signal(number)

    async def read_back(self) -> None:
        """Read until all instances answered and a change was accepted."""
        ends_s = time.monotonic() + READ_S
        waiting = set(self.orders.hosts)
        accepted = False
        while time.monotonic() < ends_s and (waiting or not accepted):
            hosts = sorted(waiting)
            came = await asyncio.gather(*map(self.orders.read, hosts))
            waiting -= {host for host, ok in zip(hosts, came) if ok}
            accepted = accepted or await self.orders.change(
                self.random.choice(self.orders.hosts)
            )
            await asyncio.sleep(POLL_S)
        self.note(f'read back, waiting for {sorted(waiting)}')
        if waiting:
            self.orders.broken.append(f'not read at {sorted(waiting)}')
        if not accepted:
            self.orders.broken.append('no change accepted')

    def _note_end(self, host: str, code: int) -> None:
        self.note(f'{host} ended by itself: {code}')
        lines = last_lines(self.mesh.folder / f'{host}.log')
        self.ended.append(f'{host} {code}: {lines}')

    async def _start_later(self, host: str, first_start: bool) -> None:
        await asyncio.sleep(self.random.uniform(0, START_SPREAD_S))
        await self.start(host, first_start=first_start)


async def read_on(play: Play, length_s: float) -> None:
    """Read for a while, beside orders."""
    ends_s = time.monotonic() + length_s
    while time.monotonic() < ends_s:
        await asyncio.gather(*map(play.orders.read, play.orders.hosts))
        await play.orders.change(play.random.choice(play.orders.hosts))
        await play.orders.transfer(play.random.choice(play.orders.hosts))
        await asyncio.sleep(POLL_S)


def _has_counted(play: Play, host: str) -> bool:
    log = play.mesh.folder / f'{host}.log'
    return 'vote_counts' in log.read_text('utf-8')

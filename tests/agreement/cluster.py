"""Replicated logs on fake disks and a fake network, in virtual time."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from functools import partial
from random import Random
from typing import Any

import msgpack
from mustardspur_agreement.context import Context
from mustardspur_agreement.log import ReplicatedLog
from mustardspur_agreement.messages import PeerGreeting
from mustardspur_agreement.ports import Environment
from mustardspur_core.metrics import NullMetrics
from mustardspur_core.record import replaced
from mustardspur_core.settings import Peer, Settings, parse_settings
from mustardspur_core.timeline import Timeline

from tests.agreement.fake_disk import FakeDisk, PowerLossError
from tests.agreement.fake_network import FakeChannel, FakeNetwork
from tests.support.virtual_time import VirtualLoop

# Timeout of each step of a test, in virtual seconds.
STEP_TIMEOUT_S = 300
Details = dict[str, Any]
TaskFunction = Callable[[], Awaitable[None]]


class ListMachine:
    """State machine that stores every entry; implements `StateMachine`."""

    def __init__(self, history: 'History') -> None:
        """Start empty."""
        self.entries: dict[int, bytes] = {}
        self._history = history

    def apply(self, index: int, entry: bytes) -> object:
        """Store an entry and return the number of entries."""
        assert index > max(self.entries, default=0)
        self.entries[index] = entry
        self._history.check_applied(index, entry)
        return len(self.entries)

    def snapshot(self) -> bytes:
        """Return all entries."""
        packed: bytes = msgpack.packb(list(self.entries.items()))
        return packed

    def restore(self, index: int, snapshot: bytes) -> None:
        """Replace all entries."""
        self.entries = dict(msgpack.unpackb(snapshot))


class History(Timeline):
    """Time line that stores events and checks what instances apply."""

    def __init__(self) -> None:
        """Initialise without events."""
        super().__init__('test', 'test', None)
        self.entry_by_index: dict[int, bytes] = {}
        self.events: list[tuple[str, Details]] = []
        self.leader_by_term: dict[int, str] = {}

    def check_applied(self, index: int, entry: bytes) -> None:
        """Check that all instances apply the same entry at an index."""
        assert self.entry_by_index.setdefault(index, entry) == entry

    def record(self, event: str, **details: Any) -> None:
        """Store an event."""
        self.events.append((event, details))

    def count(self, event: str) -> int:
        """Return how often an event was recorded."""
        return [name for name, _ in self.events].count(event)


def peer_settings(name: str, *, voter: bool, region: str) -> Details:
    """Return the settings of one peer; its port is 7000 plus its number."""
    port = 7000 + int(name[1:])
    address = f'127.0.0.1:{port}'
    return {
        'id': name,
        'stream': address,
        'http': address,
        'data_centre': f'{region}-{name}',
        'region': region,
        'voter': voter,
    }


def instance_settings(
    name: str,
    peers: list[Details],
    **overrides: Any,
) -> Settings:
    """Return the settings of one control instance."""
    own = next(peer for peer in peers if peer['id'] == name)
    document = {
        'role': 'control',
        'id': name,
        'data_centre': own['data_centre'],
        'region': own['region'],
        'data_dir': 'unused',
        'listen': {'stream': own['stream'], 'http': own['http']},
        'peers': peers,
    }
    return parse_settings({**document, **overrides}, 'test').ok


class Instance:
    """One control instance that can lose power and start again."""

    machine_type = ListMachine

    def __init__(self, settings: Settings, cluster: 'InstanceGroup') -> None:
        """Initialise a stopped instance with an empty disk."""
        self.settings = settings
        self.disk = FakeDisk()
        self.log: ReplicatedLog | None = None
        self.disk_delay_s = 0.001
        # What the file with the first voters states in a mesh.
        self.remembers_first_start = cluster.first_start
        self.machine = self.machine_type(cluster.history)
        self._cluster = cluster
        self._tasks: list[asyncio.Task[None]] = []
        self._applied_index = 0

    @property
    def election_s(self) -> float:
        """Minimum election timeout in seconds."""
        return self.settings.intervals.election_s

    @property
    def running(self) -> ReplicatedLog:
        """The log of a running instance."""
        assert self.log is not None
        return self.log

    async def start(self) -> None:
        """Load the files and run the log."""
        cluster = self._cluster
        self.machine = self.machine_type(cluster.history)
        self.log = ReplicatedLog(self._context())
        assert self.log.applied_index >= self._applied_index
        self._spawn(self.log.run)
        cluster.network.listen(
            self.settings.listen.stream or '',
            self.settings.id,
            self._accept,
        )

    async def stop(self) -> None:
        """Stop as after a power loss."""
        await self.kill()
        self.disk.lose_power(self._cluster.random)

    async def kill(self) -> None:
        """Stop as after a kill of the process: no write is lost."""
        self._cluster.network.stop(self.settings.listen.stream or '')
        if self.log is not None:
            self._applied_index = self.log.applied_index
        self.log = None
        self.disk.operations_left = 0
        for task in self._tasks:
            task.cancel()
        with suppress(asyncio.CancelledError):
            await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()
        self.disk.operations_left = None

    def lose_disk(self) -> None:
        """Replace the disk of a stopped instance by an empty one."""
        self.disk = FakeDisk()
        self.allow_applied_index_loss()
        if self.remembers_first_start:
            self.settings = replaced(self.settings, peers=[])
        self.remembers_first_start = False

    def allow_applied_index_loss(self) -> None:
        """Allow the applied index to go back, after damage to the disk."""
        self._applied_index = 0

    def _context(self) -> Context:
        cluster = self._cluster
        return Context(
            settings=self.settings,
            machine=self.machine,
            timeline=cluster.history,
            metrics=NullMetrics(),
            environment=Environment(
                dial=cluster.network.dial_from(self.settings.id),
                disk=self.disk,
                offload=self._offload,
                random=cluster.random,
                snapshot_entries=cluster.snapshot_entries,
                remembers_first_start=self.remembers_first_start,
            ),
        )

    async def _offload(self, function: Callable[[], None]) -> None:
        await asyncio.sleep(self.disk_delay_s)
        function()
        await asyncio.sleep(self.disk_delay_s)

    async def _accept(self, channel: FakeChannel) -> None:
        self._spawn(partial(self._serve, channel))

    async def _serve(self, channel: FakeChannel) -> None:
        with suppress(EOFError):
            frame = await channel.receive()
            assert isinstance(frame.body, PeerGreeting)
            await self.running.serve(channel, frame.body)

    def _spawn(self, function: TaskFunction) -> None:
        self._tasks.append(asyncio.ensure_future(self._guard(function)))

    async def _guard(self, function: TaskFunction) -> None:
        try:
            await function()
        except* PowerLossError:
            self.log = None
            self._cluster.network.stop(self.settings.listen.stream or '')
        except* AssertionError as error:
            self._cluster.failures.append(error)


class InstanceGroup:
    """Starts and stops the instances of a test."""

    def __init__(
        self,
        voters: Mapping[str, str],
        others: Mapping[str, str] | None = None,
        snapshot_entries: int = 1000,
        seed: int = 1,
        *,
        first_start: bool = True,
    ) -> None:
        """Initialise stopped instances from names with their regions.

        At a `first_start` the data folders state it, as in a mesh. Without
        it, the voters are known from the settings, also with an empty disk.
        """
        self.first_start = first_start
        self.loop = VirtualLoop()
        self.random = Random(seed)
        self.network = FakeNetwork(self.random)
        self.history = History()
        self.failures: list[BaseException] = []
        self.snapshot_entries = snapshot_entries
        peers = [
            peer_settings(name, voter=name in voters, region=region)
            for name, region in {**voters, **(others or {})}.items()
        ]
        self.instances = {
            peer['id']: Instance(instance_settings(peer['id'], peers), self)
            for peer in peers
        }
        # The settings of an instance that lost its disk in a mesh name none.
        self.peers_by_id = {
            peer.id: peer
            for peer in next(iter(self.instances.values())).settings.peers
        }

    def run(self, awaitable: Any) -> Any:
        """Run an awaitable in virtual time and return its result."""
        outcome = self.loop.run_until_complete(_bounded(awaitable))
        assert not self.failures, self.failures
        return outcome

    def run_concurrently(self, *awaitables: Any) -> Any:
        """Run awaitables concurrently and return their results in order."""
        return self.run(_gathered(awaitables))

    async def guard(self, coroutine: Any) -> None:
        """Record a failed check, which fails the current step at its end."""
        try:
            await coroutine
        except AssertionError as error:
            self.failures.append(error)

    def start(self, *names: str) -> None:
        """Start some instances, or all."""
        for name in names or self.instances:
            self.run(self.instances[name].start())

    def start_stopped(self) -> None:
        """Start the instances that are stopped or have lost power."""
        for name, instance in self.instances.items():
            if instance.log is None:
                self.stop(name)
                self.start(name)

    def stop(self, *names: str) -> None:
        """Stop some instances, or all, by a power loss."""
        for name in names or self.instances:
            self.run(self.instances[name].stop())

    def kill(self, *names: str) -> None:
        """Kill the processes of some instances."""
        for name in names:
            self.run(self.instances[name].kill())

    def lose_disk(self, name: str) -> None:
        """Stop an instance, which loses its disk."""
        self.stop(name)
        self.instances[name].lose_disk()

    def live(self) -> list[Instance]:
        """Return the running instances."""
        return [
            instance
            for instance in self.instances.values()
            if instance.log is not None
        ]

    def close(self) -> None:
        """Stop all instances and close the loop."""
        self.stop()
        self.loop.close()


class Cluster(InstanceGroup):
    """Instances with the steps that most tests need."""

    def leader(self) -> Instance:
        """Return the leader of the highest term, waiting for one."""
        for _ in range(200):
            leaders = [
                instance
                for instance in self.live()
                if instance.running.is_leader
            ]
            if leaders:
                return max(leaders, key=lambda instance: instance.running.term)
            self.advance(0.1)
        raise AssertionError('no leader within 20 s')

    def replace_leader(self) -> Instance:
        """Stop the leader and return the next one as soon as it leads."""
        self.stop(self.leader().settings.id)
        while not any(instance.running.is_leader for instance in self.live()):
            self.advance(0.001)
        return self.leader()

    def propose(self, entry: bytes, name: str | None = None) -> Any:
        """Propose at an instance or the leader and return the result."""
        instance = self.instances[name] if name else self.leader()
        return self.run(instance.running.propose(entry))

    def barrier(self, name: str) -> Any:
        """Run a read barrier at an instance and return the result."""
        return self.run(self.instances[name].running.read_barrier())

    def peer(self, name: str) -> Peer:
        """Return the settings of one peer."""
        return self.peers_by_id[name]

    def readmit(self) -> None:
        """Add the instances that lost their disks and know no voters.

        In a mesh they introduce themselves, and the leader records them. An
        entry with all addresses comes first, as in a mesh, where the first
        voters are recorded without their data centres.
        """
        unknown = [
            name
            for name, instance in self.instances.items()
            if not instance.settings.peers
        ]
        if unknown:
            unknown.insert(0, self.leader().settings.id)
        for name in unknown:
            added = self.leader().running.add_voter(self.peer(name))
            assert self.run(added).is_ok()
        self.advance(5)

    def isolate(self, name: str) -> None:
        """Lose all messages between one instance and the others."""
        for other in self.instances:
            if other != name:
                self.network.block(name, other)

    def advance(self, seconds: float) -> None:
        """Advance virtual time and check for one leader in each term."""
        self.run(asyncio.sleep(seconds))
        for instance in self.live():
            log = instance.running
            if log.is_leader:
                name = instance.settings.id
                recorded = self.history.leader_by_term.setdefault(
                    log.term, name
                )
                assert recorded == name

    def settle(self, seconds: float = 10) -> None:
        """Advance virtual time and check that all applied entries are equal."""
        self.advance(seconds)
        states = [instance.machine.entries for instance in self.live()]
        assert all(state == states[0] for state in states)

    def recover(self) -> None:
        """End all faults and restart the stopped instances."""
        self.network.heal()
        self.network.disorder = 0
        for instance in self.instances.values():
            instance.disk.full = False
            if instance.log is not None:
                instance.disk.operations_left = None
        self.start_stopped()
        self.advance(30)


async def _bounded(awaitable: Any) -> Any:
    async with asyncio.timeout(STEP_TIMEOUT_S):
        return await awaitable


async def _gathered(awaitables: tuple[Any, ...]) -> Any:
    return await asyncio.gather(*awaitables)

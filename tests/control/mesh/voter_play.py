"""Control instances that are replaced, wiped or cut off, in virtual time."""

import asyncio
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any, Final

from mustardspur_control.mesh.formation import (
    control_peer,
    own_peer,
    remembers_first_start,
)
from mustardspur_control.mesh.membership import Membership
from mustardspur_core.record import replaced
from mustardspur_core.settings import MeshSettings, Settings, parse_settings

from tests.agreement.cluster import Cluster, Instance
from tests.agreement.fake_disk import FakeDisk
from tests.core.mesh.builders import mesh_settings

INSTANCES: Final = 4
REGIONS: Final = ('erie', 'michigan')
SEEDS: Final = 3
# An instance counts as lost for this long after it is back.
CATCH_UP_S: Final = 4.0
# Everything is back this long after a final fault.
RECOVERY_S: Final = 15.0
HEARTBEAT_S: Final = 0.5
ACCEPT_S: Final = 0.25
Fault = Callable[['VoterPlay', str], None]
faults: list[Fault] = []


def fault(function: Fault) -> Fault:
    """Register a fault of one instance, at whose end it is back."""
    faults.append(function)
    return function


class ControlInstance(Instance):
    """A log with the membership logic that changes its voters."""

    def __init__(self, settings: Settings, play: 'VoterPlay') -> None:
        """Initialise a stopped instance whose seeds are the first voters."""
        super().__init__(settings, play)
        self.mesh = mesh_settings()
        self._play = play

    async def start(self) -> None:
        """Run the log, the membership and the exchange of heartbeats."""
        self.remembers_first_start = remembers_first_start(self.settings)
        await super().start()
        members: Any = Membership(self.settings, self.mesh, self.running)
        self._play.members_by_id[self.settings.id] = members
        self._spawn(members.run)
        self._spawn(partial(self._play.exchange, self.settings.id, members))

    def lose_disk(self) -> None:
        """Return with an empty disk, knowing no voters."""
        self.disk = FakeDisk()
        self.settings = replaced(self.settings, peers=[])
        self.allow_applied_index_loss()


class VoterPlay(Cluster):
    """Instances under faults, of which one at a time is lost."""

    def __init__(self, seed: int) -> None:
        """Start the play; instances and their order depend on the seed."""
        super().__init__({'c0': 'erie'}, seed=seed)
        self.instances.clear()
        self.members_by_id: dict[str, Any] = {}
        self.accepted: dict[int, bytes] = {}
        self.choices = Random(seed)
        self._number = 0
        first = [f'10.0.0.{number}' for number in range(1, INSTANCES + 1)]
        seeds = [
            control_peer(_settings(first[0]), _http(name)) for name in first
        ]
        for name in first:
            self._create(name, first[:SEEDS])
            peers = seeds[:SEEDS] if name in first[:SEEDS] else []
            instance = self.instances[name]
            instance.settings = replaced(instance.settings, peers=peers)
        self.counted = first
        self._proposing = self.loop.create_task(self._accept_entries())
        self.form()

    def form(self) -> None:
        """Start all instances and let them become voters."""
        self.start(*self.counted)
        self.advance(8)

    def close(self) -> None:
        """Stop proposing, stop all instances and close the loop."""
        self._proposing.cancel()
        super().close()

    async def exchange(self, name: str, members: Any) -> None:
        """Send heartbeats to the known instances, and learn who is named."""
        while True:
            for peer_id in members.other_peers:
                if _reaches(self, name, peer_id):
                    self._exchange_once(name, members, peer_id)
            await asyncio.sleep(HEARTBEAT_S)

    def pause_s(self, *seconds: float) -> float:
        """Return one of some times, plus a part of a check interval."""
        return self.choices.choice(seconds) + self.choices.random() * 0.5

    def victim(self) -> str:
        """Return an instance that counts, often the leader."""
        leaders = [
            each.settings.id for each in self.live() if each.running.is_leader
        ]
        return self.choices.choice([*self.counted, *leaders])

    def add_successor(self, lost: str) -> None:
        """Start an empty instance that is told of three others at most."""
        number = len(self.instances) + 1
        name = f'10.0.0.{number}'
        seeds = self.choices.sample(self.counted, SEEDS)
        self._create(name, seeds)
        self.start(name)
        self.counted = [each for each in self.counted if each != lost]
        self.counted.append(name)

    def strike(self) -> None:
        """Play a fault; the instance counts again at its end."""
        self.choices.choice(faults)(self, self.victim())
        self.advance(CATCH_UP_S)

    def strike_finally(self) -> None:
        """Take a disk right after an entry was accepted, and all power."""
        outcome = self.propose(b'last')
        while outcome.is_error():
            self.advance(0.1)
            outcome = self.propose(b'last')
        self.accepted[outcome.ok.index] = b'last'
        wiped = self.victim()
        live = [each.settings.id for each in self.live()]
        self.stop(*live)
        wipe(self, wiped)
        self.advance(self.pause_s(0.5, 1.0))
        self.start(*(name for name in self.counted))

    def check(self) -> None:
        """Check that all that was accepted is there and more is accepted."""
        self.advance(RECOVERY_S)
        leader = self.leader()
        assert leader.running.voters, 'no voters'
        assert self.propose(b'after the final fault').is_ok()
        assert self.accepted.items() <= leader.machine.entries.items()

    def _exchange_once(self, name: str, members: Any, peer_id: str) -> None:
        remote = self.members_by_id[peer_id]
        remote.record_seen(own_peer(self.instances[name].settings))
        members.record_named(list(remote.peers_to_name.values()))

    def _create(self, name: str, seeds: list[str]) -> None:
        instance = ControlInstance(_settings(name), self)
        instance.mesh = _mesh(seeds)
        self.instances[name] = instance

    async def _accept_entries(self) -> None:
        while True:
            await asyncio.sleep(ACCEPT_S)
            for instance in self.live():
                if instance.running.is_leader:
                    self._number += 1
                    self.loop.create_task(
                        self._accept(instance, b'%d' % self._number)
                    )

    async def _accept(self, instance: Instance, entry: bytes) -> None:
        outcome = await instance.running.propose(entry)
        if outcome.is_ok():
            self.accepted[outcome.ok.index] = entry


@fault
def replace(play: VoterPlay, name: str) -> None:
    """Lose an instance for good; an empty one comes at another address."""
    play.stop(name)
    play.advance(play.pause_s(0.5, 1.0))
    play.add_successor(name)


@fault
def replace_as_planned(play: VoterPlay, name: str) -> None:
    """Start an empty instance, and stop the old one when that one counts."""
    play.add_successor(name)
    play.advance(CATCH_UP_S)
    play.kill(name)


@fault
def lose_disk(play: VoterPlay, name: str) -> None:
    """Lose power and disk of an instance, which returns empty."""
    play.stop(name)
    wipe(play, name)
    play.advance(play.pause_s(0.3, 3.0))
    play.start(name)


@fault
def lose_power(play: VoterPlay, name: str) -> None:
    """Lose the power of an instance, for long at times."""
    play.stop(name)
    play.advance(play.pause_s(0.3, 3.0, 14.0))
    play.start(name)


@fault
def cut_off(play: VoterPlay, name: str) -> None:
    """Cut an instance off from all others."""
    play.isolate(name)
    play.advance(play.pause_s(1.0, 5.0, 14.0))
    play.network.heal()


@fault
def kill_all(play: VoterPlay, _: str) -> None:
    """Kill all processes, which are back within a second."""
    play.kill(*play.counted)
    play.advance(play.pause_s(0.1, 0.5))
    play.start(*play.counted)


@fault
def fill_disk(play: VoterPlay, name: str) -> None:
    """Fill a disk for some seconds."""
    disk = play.instances[name].disk
    disk.full = True
    play.advance(play.pause_s(4.0))
    disk.full = False


def wipe(play: VoterPlay, name: str) -> None:
    """Replace the disk of a stopped instance by an empty one."""
    instance: Any = play.instances[name]
    instance.lose_disk()


def _reaches(play: VoterPlay, name: str, peer_id: str) -> bool:
    other = play.instances.get(peer_id)
    if other is None or other.log is None:
        return False
    return not play.network.is_blocked(name, peer_id)


def _settings(name: str) -> Settings:
    region = REGIONS[int(name.rpartition('.')[2]) % len(REGIONS)]
    document = {
        'role': 'control',
        'id': name,
        'data_centre': f'{region}-{name}',
        'region': region,
        'data_dir': 'unused',
        'listen': {'stream': f'{name}:7000', 'http': _http(name)},
        'peers': [],
        'intervals': {'heartbeat_s': 0.5, 'silence_s': 2.0, 'election_s': 0.45},
    }
    return parse_settings(document, 'test').ok


def _http(name: str) -> str:
    return f'{name}:8000'


def _mesh(seeds: list[str]) -> MeshSettings:
    return replaced(mesh_settings(), seeds=[_http(name) for name in seeds])

"""The first orders of a mesh, one of whose first voters is not up yet."""

import asyncio
from typing import Any, Final

from mustardspur_control.mesh.log_access import LogAccess
from mustardspur_core.mesh.entries import MeshAnswer, SetBaseVersion
from mustardspur_core.record import replaced

from tests.agreement.cluster import ListMachine
from tests.control.mesh.voter_play import (
    INSTANCES,
    SEEDS,
    VoterPlay,
    wipe,
)

# Time within which operators expect the acknowledgement of an order.
ACK_LIMIT_S: Final = 4.0
_ORDER_INTERVAL_S: Final = 0.1
_STEP_S: Final = 0.01
_FIRST_ACK_LIMIT_S: Final = 20.0


class _AnsweringMachine(ListMachine):
    """Answers each entry as the store of a control instance does."""

    def apply(self, index: int, entry: bytes) -> object:
        """Store an entry and accept it."""
        super().apply(index, entry)
        return MeshAnswer(status='accepted', number=index)


class FormingPlay(VoterPlay):
    """Instances that start for the first time, but for one first voter.

    Orders are sent to the leader from the first moment on.
    """

    def __init__(self, seed: int, *, has_fourth: bool = True) -> None:
        """Start all instances but one first voter."""
        self.has_fourth = has_fourth
        self.absent = ''
        # When the first order was sent and acknowledged.
        self.ordered_s = float('inf')
        self.acked_s = float('inf')
        super().__init__(seed)

    def form(self) -> None:
        """Start all instances but one first voter, a moment apart."""
        names = self.counted[: INSTANCES if self.has_fourth else SEEDS]
        self.absent = self.choices.choice(names[:SEEDS])
        self.counted = names
        for instance in self.instances.values():
            instance.machine_type = _AnsweringMachine
        present = [name for name in names if name != self.absent]
        self.choices.shuffle(present)
        for name in present:
            self.start(name)
            self.advance(self.choices.random() * 0.1)

    def forget_first_start(self) -> None:
        """Let the absent instance return without its first voters."""
        absent = self.instances[self.absent]
        absent.settings = replaced(absent.settings, peers=[])

    def start_absent(self) -> None:
        """Start the first voter that was not up yet, beside the others."""
        self.loop.create_task(self.instances[self.absent].start())

    def until_acked(self) -> None:
        """Wait for the first acknowledgement."""
        ends_s = self.loop.time() + _FIRST_ACK_LIMIT_S
        while not self.accepted and self.loop.time() < ends_s:
            self.advance(_STEP_S)
        assert self.accepted

    def lose_a_disk(self) -> None:
        """Stop all instances; one that was there returns without its disk."""
        live = [each.settings.id for each in self.live()]
        wiped = self.choices.choice(
            [name for name in live if name != self.absent]
        )
        self.stop(*live)
        wipe(self, wiped)
        if self.absent not in live:
            self.forget_first_start()
        self.advance(self.pause_s(0.5, 1.0))
        self.start(*self.counted)

    async def _accept_entries(self) -> None:
        number = 0
        while True:
            for instance in self.live():
                if instance.running.is_leader:
                    number += 1
                    self.ordered_s = min(self.ordered_s, self.loop.time())
                    self.loop.create_task(self._order(instance, number))
            await asyncio.sleep(_ORDER_INTERVAL_S)

    async def _order(self, instance: Any, number: int) -> None:
        entry = SetBaseVersion(service='forms', version=f'v{number}')
        answer = await LogAccess(instance.running).propose(entry)
        if answer.is_ok():
            index = answer.ok.number
            self.acked_s = min(self.acked_s, self.loop.time())
            self.accepted[index] = self.history.entry_by_index[index]

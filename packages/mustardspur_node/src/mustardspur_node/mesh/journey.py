"""What has been tried for a call."""

import asyncio
import random

from mustardspur_core.mesh.call_messages import TargetLoad
from mustardspur_core.mesh.model import MeshTarget
from mustardspur_core.units import MS_PER_S

from mustardspur_node.mesh.call_value import longest_wait_ms
from mustardspur_node.mesh.calls import MeshCall, PlaceFault, TargetAnswer
from mustardspur_node.mesh.versions import eligible_targets
from mustardspur_node.mesh.view import MeshView


class Journey:
    """What has been tried for a call.

    Parameters
    ----------
    call : MeshCall
        The call.
    service : str
        The service that it was assigned to.
    """

    __slots__ = (
        '_rows',
        'arrivals',
        'call',
        'failure',
        'faults',
        'placements',
        'runs',
        'sent_on',
        'service',
        'tried',
    )

    def __init__(self, call: MeshCall, service: str) -> None:
        """Start untried."""
        self.call = call
        self.service = service
        self.placements = 0
        self.arrivals = 0
        self.runs = 0
        self.sent_on = False
        self.tried: set[str] = set()
        self.faults: list[PlaceFault] = []
        self.failure: TargetAnswer | None = None
        self._rows: list[MeshTarget] | None = None

    def rows(self, view: MeshView, choice: random.Random) -> list[MeshTarget]:
        """Return the targets of the version that the call goes to."""
        if self._rows is None:
            self._rows = eligible_targets(view, self.service, choice)
        return self._rows

    @property
    def knew_targets(self) -> bool:
        """Whether there was a target that the call could go to."""
        return bool(self._rows)

    @property
    def timed_out(self) -> bool:
        """Whether the call ends since its time is over.

        The target's node ends it a moment earlier than the caller's one.
        """
        last = self.faults[-1].kind if self.faults else ''
        return self.left_ms() <= 0 or last == 'timeout'

    def note_sent(self) -> None:
        """Note that the call may run from now on."""
        self.sent_on = True

    async def hand_over(self, _: TargetLoad) -> None:
        """Let the target beside this node run the call."""
        self.note_sent()

    def note_fault(self, fault: PlaceFault) -> None:
        """Count what a fault says of the call."""
        self.faults.append(fault)
        if fault.arrived:
            self.arrivals += 1
        if fault.not_run:
            self.sent_on = False
        else:
            self.runs += 1

    def left_ms(self) -> float:
        """Return the time that is left."""
        return (self.call.deadline_s - _now()) * MS_PER_S

    def useful_ms(self) -> float:
        """Return the time within which an answer has most of its value."""
        return (self.call.useful_s - _now()) * MS_PER_S

    def longest_wait_ms(self) -> float:
        """Return the longest useful wait for a slot."""
        return longest_wait_ms(self.call.route)

    def held_ms(self) -> float:
        """Return the time since the call was read."""
        return (_now() - self.call.started_s) * MS_PER_S

    def last_reason(self) -> str:
        """Return why the last target gave no answer."""
        if self.faults:
            return str(self.faults[-1])
        if self.knew_targets:
            return 'busy: all targets that are known are full'
        return 'no target is known'


def _now() -> float:
    return asyncio.get_running_loop().time()

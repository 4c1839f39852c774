"""Choice of the target of a call."""

import asyncio
import random
from collections.abc import Iterable
from typing import Final

from mustardspur_core.mesh.call_messages import TargetLoad
from mustardspur_core.mesh.model import MeshTarget
from mustardspur_core.settings import Settings
from mustardspur_core.units import MS_PER_S

from mustardspur_node.mesh.distances import Distances
from mustardspur_node.mesh.run_times import FIRST_RUN_MS

# Expected time that a target costs whose runs all fail.
FAILING_MS: Final = 400.0
# Rise of the time of a run when all slots of a target are in use.
FULL_SLOWDOWN: Final = 0.6
# A target that is still slow after its start counts as this much slower.
COLD_FACTOR: Final = 2.0
# A node that could not be reached is tried again after this time.
SUSPECT_S: Final = 0.7
# Starts of targets that are remembered: a row that is sent once more must not
# make its target count as cold again.
MAX_COLD: Final = 8192
# Targets that are compared for a call; more would all find the same one.
COMPARED: Final = 3


class _NodeState:
    """What this node knows of the target beside another node."""

    __slots__ = ('load', 'load_s', 'sent', 'suspect_until_s')

    def __init__(self) -> None:
        self.load: TargetLoad | None = None
        self.load_s: float = 0
        self.sent = 0
        self.suspect_until_s: float = 0


class TargetChooser:
    """Chooses targets by their reported load and by their distance.

    Parameters
    ----------
    settings : Settings
        Where this node is.
    choice : random.Random
        Source of the samples that are compared.
    """

    __slots__ = (
        '_choice',
        '_cold_until_s',
        '_settings',
        '_states',
        'distances',
    )

    def __init__(self, settings: Settings, choice: random.Random) -> None:
        """Start without reports."""
        self._settings = settings
        self._choice = choice
        self.distances = Distances(settings)
        self._states: dict[str, _NodeState] = {}
        self._cold_until_s: dict[str, float] = {}

    def note_load(self, node: str, load: TargetLoad) -> None:
        """Take over the state of a target as its node reports it."""
        state = self._state(node)
        state.load = load
        state.load_s = _now()
        state.sent = 0

    def note_sent(self, node: str) -> None:
        """Count a call that the next report will include."""
        self._state(node).sent += 1

    def note_unreachable(self, node: str) -> None:
        """Avoid a node for a while."""
        state = self._state(node)
        state.suspect_until_s = _now() + SUSPECT_S

    def note_rows(self, rows: Iterable[MeshTarget]) -> None:
        """Note which targets are slow after their start."""
        for row in rows:
            key = f'{row.node}/{row.id}'
            if key not in self._cold_until_s and row.cold_ms:
                self._cold_until_s[key] = _now() + row.cold_ms / MS_PER_S
        while len(self._cold_until_s) > MAX_COLD:
            self._cold_until_s.pop(next(iter(self._cold_until_s)))

    def choose(
        self,
        rows: list[MeshTarget],
        useful_ms: float,
        longest_wait_ms: float,
    ) -> MeshTarget | None:
        """Return the best of a few targets, None if there are none.

        Explanation
        ===========

        Some of the own region and some of others are compared, so that a
        call crosses regions where that is worth its price. Targets that are
        known to be too full for the call are left out: asking them costs
        bytes and time, and they would refuse.

        Parameters
        ----------
        rows : list of MeshTarget
            Targets that may run the call.
        useful_ms : float
            Time within which an answer has most of its value.
        longest_wait_ms : float
            Longest useful wait for a slot.
        """
        sound = [row for row in rows if self._is_usable(row)] or rows
        usable = [
            row for row in sound if self._fits(row, useful_ms, longest_wait_ms)
        ]
        region = self._settings.region
        near = [row for row in usable if row.region == region]
        far = [row for row in usable if row.region != region]
        return min(
            (*self._sample(near), *self._sample(far)),
            key=self.expected_ms,
            default=None,
        )

    def expected_ms(self, row: MeshTarget) -> float:
        """Return the expected time of a call at a target, with its price."""
        state = self._state(row.node)
        slots = max(row.slots, 1)
        run_ms = state.load.run_ms if state.load else FIRST_RUN_MS
        if _now() < self._cold_until_s.get(f'{row.node}/{row.id}', 0):
            run_ms *= COLD_FACTOR
        inside = self._inside(state)
        full = min(inside / slots, 1.0)
        queued = max(inside + 1 - slots, 0) / slots
        failure_rate = state.load.failure_rate if state.load else 0
        return (
            run_ms * (1 + FULL_SLOWDOWN * full * full + queued)
            + self.distances.way_ms(row)
            + self.distances.price_ms(row)
            + failure_rate * FAILING_MS
        )

    def run_ms(self, row: MeshTarget) -> float:
        """Return the mean time of a run at a target."""
        load = self._state(row.node).load
        return load.run_ms if load else FIRST_RUN_MS

    def _sample(self, rows: list[MeshTarget]) -> list[MeshTarget]:
        if len(rows) <= COMPARED:
            return rows
        return self._choice.sample(rows, COMPARED)

    def _inside(self, state: _NodeState) -> int:
        if state.load is None:
            return state.sent
        return state.load.running + state.load.waiting + state.sent

    def _fits(
        self,
        row: MeshTarget,
        useful_ms: float,
        longest_wait_ms: float,
    ) -> bool:
        state = self._state(row.node)
        load = state.load
        fresh_s = self.distances.fresh_s(row)
        if load is None or _now() - state.load_s > fresh_s:
            return True
        slots = max(load.slots, 1)
        ahead = self._inside(state) + 1 - slots
        if ahead <= 0:
            return True
        wait_ms = ahead * load.run_ms / slots
        if wait_ms > longest_wait_ms:
            return False
        return wait_ms + load.run_ms + self.distances.way_ms(row) <= useful_ms

    def _is_usable(self, row: MeshTarget) -> bool:
        state = self._state(row.node)
        if _now() < state.suspect_until_s:
            return False
        return state.load is None or state.load.open

    def _state(self, node: str) -> _NodeState:
        known = self._states.get(node)
        if known is None:
            known = _NodeState()
            self._states[node] = known
        return known


def _now() -> float:
    return asyncio.get_running_loop().time()

"""Judge of new versions by the sequential test of `mustardspur_moves`."""

import asyncio
from typing import Any, Final

from mustardspur_control.mesh.evaluation import TransferVerdict
from mustardspur_control.mesh.evidence import RunTotals, Totals
from mustardspur_control.mesh.transfers import TransferDriver
from mustardspur_core.mesh import Transfer
from mustardspur_core.profile.model import MovePolicy
from mustardspur_core.record import replaced
from mustardspur_core.state import Move, MoveState
from mustardspur_core.units import MS_PER_S
from mustardspur_moves.evidence import CellKey, Evidence
from mustardspur_moves.outcome_counts import OutcomeCounts
from mustardspur_moves.slots import Slot
from mustardspur_moves.verdict import evaluate_version

from benchmarks.transfers.service import OLD_VERSION, TARGETS

# Length of a slot's window.
WINDOW_S: Final = 1.0
_POLICY: Final = MovePolicy(
    within_s=None,
    by=None,
    first_share=0,
    unjudged='take_back',
    weighing='convergence_time',
)


class SequentialDriver(TransferDriver):
    """Takes versions back by the sequential test of `mustardspur_moves`."""

    __slots__ = ('_slots', '_totals')

    def __init__(self, *components: Any) -> None:
        """Initialise without slots."""
        super().__init__(*components)
        self._slots = Evidence()
        self._totals: Totals = {}

    def _verdict(self, transfer: Transfer) -> TransferVerdict:
        verdict = super()._verdict(transfer)
        self._add_slot(transfer)
        tested = evaluate_version(
            _move(transfer), _POLICY, self._slots, TARGETS, WINDOW_S
        )
        return replaced(
            verdict,
            is_faulty=tested.bad,
            reason=f'{tested.kind} {tested.scope}' if tested.bad else '',
        )

    def _add_slot(self, transfer: Transfer) -> None:
        """Add the counts that became known since the last verdict."""
        now_s = asyncio.get_running_loop().time()
        slot = Slot(step=transfer.step, window=int(now_s // WINDOW_S))
        totals = self._evidence.totals(transfer.service)
        for key, counts in totals.items():
            added = counts.minus(self._totals.get(key, RunTotals()))
            if added.runs or added.unanswered:
                cell = CellKey(key.version, key.node, key.route, '', '')
                self._slots.add(slot, cell, _outcomes(added))
        self._totals = totals


def _move(transfer: Transfer) -> Move:
    return Move(
        id=transfer.service,
        service=transfer.service,
        target_set='',
        from_version=OLD_VERSION,
        to_version=transfer.version,
        started_s=0,
        by_s=transfer.duration_ms / MS_PER_S,
        state=MoveState.RUNNING.value,
        share=transfer.share,
        step=transfer.step,
        reason='',
    )


def _outcomes(counts: RunTotals) -> OutcomeCounts:
    return OutcomeCounts(
        calls=counts.runs + counts.unanswered,
        failures=counts.failed,
        refusals=0,
        latency_counts=counts.latency_counts,
    )

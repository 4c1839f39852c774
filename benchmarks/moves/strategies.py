"""The decision code under test and two baselines."""

from collections.abc import Callable
from typing import Final

from mustardspur_control.move_driver import Decide
from mustardspur_core.profile import MovePolicy
from mustardspur_core.record import Record
from mustardspur_core.state import Move, MoveState
from mustardspur_moves import Action, Decision, Evidence, OutcomeCounts, decide

# The fixed baseline: shares at equal intervals, and the error rate of the
# new version from which it is taken back.
FIXED_SHARES: Final = (0.02, 0.1, 0.25, 0.5, 1.0)
FIXED_ERROR_RATE: Final = 0.05
FIXED_MIN_CALLS: Final = 20


class Strategy(Record):
    """How a move is decided.

    Parameters
    ----------
    name : str
        Name in the table.
    decide : callable
        For the leader.
    seen : callable
        What is seen of the outcomes.
    cuts_off : bool
        Whether nodes cut off on their own evidence.
    """

    __slots__ = ('name', 'decide', 'seen', 'cuts_off')
    name: str
    decide: Decide
    seen: Callable[[OutcomeCounts], OutcomeCounts]
    cuts_off: bool


def _everything(tally: OutcomeCounts) -> OutcomeCounts:
    return tally


def _errors_only(tally: OutcomeCounts) -> OutcomeCounts:
    return OutcomeCounts(
        calls=tally.calls,
        failures=tally.failures,
        refusals=0,
        latency_counts={},
    )


def _decide_fixed(
    move: Move, policy: MovePolicy, evidence: Evidence, now_s: float
) -> Decision:
    """Raise at fixed times unless the error rate is above a fixed one."""
    part = (now_s - move.started_s) / (move.by_s - move.started_s)
    place = min(int(part * (len(FIXED_SHARES) + 1)), len(FIXED_SHARES) - 1)
    new = [
        tally
        for key, tally in evidence.all_cells()
        if key.version == move.to_version
    ]
    calls = sum(tally.calls for tally in new)
    failures = sum(tally.failures for tally in new)
    if calls >= FIXED_MIN_CALLS and failures > FIXED_ERROR_RATE * calls:
        return _fixed(Action.TAKE_BACK, MoveState.TAKEN_BACK, 0)
    share = FIXED_SHARES[place]
    if move.share >= 1 and part > len(FIXED_SHARES) / (len(FIXED_SHARES) + 1):
        return _fixed(Action.FINISH, MoveState.DONE, 1)
    if share > move.share:
        return _fixed(Action.RAISE, MoveState.RUNNING, share)
    return _fixed(Action.WAIT, MoveState.RUNNING, move.share)


def _fixed(action: Action, state: MoveState, share: float) -> Decision:
    return Decision(
        action=action.value,
        state=state.value,
        share=share,
        reason='fixed steps',
        figures={},
    )


OURS: Final = Strategy(
    name='mixture', decide=decide, seen=_everything, cuts_off=True
)
ERRORS_ONLY: Final = Strategy(
    name='errors only', decide=decide, seen=_errors_only, cuts_off=True
)
FIXED: Final = Strategy(
    name='fixed steps', decide=_decide_fixed, seen=_everything, cuts_off=False
)

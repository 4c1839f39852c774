"""Decision code under test, and two baselines."""

from collections.abc import Callable
from typing import Final

from mustardspur_control.move_driver import Decide
from mustardspur_core.profile import MovePolicy
from mustardspur_core.record import Record
from mustardspur_core.state import Move, MoveState
from mustardspur_moves import Action, Decision, Evidence, OutcomeCounts, decide

# Baseline of fixed steps: shares at equal intervals, and the error rate of the
# new version above which it is taken back.
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
        Decides about a move, at the leader.
    visible_outcomes : callable
        Returns the part of the outcomes that decisions may use.
    cuts_off : bool
        Whether nodes cut off a version on their own evidence.
    """

    __slots__ = ('name', 'decide', 'visible_outcomes', 'cuts_off')
    name: str
    decide: Decide
    visible_outcomes: Callable[[OutcomeCounts], OutcomeCounts]
    cuts_off: bool


def _all_outcomes(outcomes: OutcomeCounts) -> OutcomeCounts:
    return outcomes


def _errors_only(outcomes: OutcomeCounts) -> OutcomeCounts:
    return OutcomeCounts(
        calls=outcomes.calls,
        failures=outcomes.failures,
        refusals=0,
        latency_counts={},
    )


def _decide_fixed(
    move: Move, policy: MovePolicy, evidence: Evidence, now_s: float
) -> Decision:
    """Raise the share at fixed times; take back above a fixed error rate."""
    fraction = (now_s - move.started_s) / (move.by_s - move.started_s)
    step = min(int(fraction * (len(FIXED_SHARES) + 1)), len(FIXED_SHARES) - 1)
    new_outcomes = [
        outcomes
        for key, outcomes in evidence.all_cells()
        if key.version == move.to_version
    ]
    calls = sum(outcomes.calls for outcomes in new_outcomes)
    failures = sum(outcomes.failures for outcomes in new_outcomes)
    if calls >= FIXED_MIN_CALLS and failures > FIXED_ERROR_RATE * calls:
        return _fixed(Action.TAKE_BACK, MoveState.TAKEN_BACK, 0)
    share = FIXED_SHARES[step]
    if move.share >= 1 and fraction > len(FIXED_SHARES) / (
        len(FIXED_SHARES) + 1
    ):
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


MIXTURE: Final = Strategy(
    name='mixture', decide=decide, visible_outcomes=_all_outcomes, cuts_off=True
)
ERRORS_ONLY: Final = Strategy(
    name='errors only',
    decide=decide,
    visible_outcomes=_errors_only,
    cuts_off=True,
)
FIXED: Final = Strategy(
    name='fixed steps',
    decide=_decide_fixed,
    visible_outcomes=_all_outcomes,
    cuts_off=False,
)

"""Decision on a move, with its action and reason."""

from enum import StrEnum

from mustardspur_core.record import Record


class Action(StrEnum):
    """Action that a decision applies to a move."""

    RAISE = 'raise'
    WAIT = 'wait'
    FINISH = 'finish'
    TAKE_BACK = 'take_back'


class Decision(Record):
    """Action to apply to a move, with the reason for it.

    Parameters
    ----------
    action : str
        One of `Action`. With ``finish``, the move ends as soon as its last
        step is in force.
    state, share : str, float
        State and share of the move after the decision.
    reason : str
        Reason, shown to the operator.
    figures : dict of float
        Figures that the decision is based on, by name.
    """

    __slots__ = ('action', 'state', 'share', 'reason', 'figures')
    action: str
    state: str
    share: float
    reason: str
    figures: dict[str, float]

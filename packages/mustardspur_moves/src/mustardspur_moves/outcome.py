"""What a decision on a move says."""

from enum import StrEnum

from mustardspur_core.record import Record


class Action(StrEnum):
    """What to do with a move."""

    RAISE = 'raise'
    WAIT = 'wait'
    FINISH = 'finish'
    TAKE_BACK = 'take_back'


class Decision(Record):
    """What to do with a move, and why.

    Parameters
    ----------
    action : str
        One of `Action`; ``finish`` ends the move as soon as its last step is
        in force.
    state, share : str, float
        The move's fields after the decision.
    reason : str
        For the operator.
    figures : dict of float
        Numbers that the decision rests on.
    """

    __slots__ = ('action', 'state', 'share', 'reason', 'figures')
    action: str
    state: str
    share: float
    reason: str
    figures: dict[str, float]

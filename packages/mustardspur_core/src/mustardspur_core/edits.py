"""Entries of the replicated log and the answers to operators' edits.

Log entries are stored in their wire encoding and use the message type codes
100 to 119.
"""

from enum import StrEnum

from mustardspur_core.findings import Finding
from mustardspur_core.profile.model import Profile
from mustardspur_core.record import Record
from mustardspur_core.wire.codec import message


class MoveOrder(StrEnum):
    """Order that an operator can give for a move."""

    PAUSE = 'pause'
    RESUME = 'resume'
    TAKE_BACK = 'take_back'
    FORCE = 'force'


class AnswerStatus(StrEnum):
    """Status of the answer to an edit."""

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    INVALID = 'invalid'
    UNKNOWN = 'unknown'


@message(100)
class PutProfile(Record):
    """Entry that adds or replaces a profile.

    Parameters
    ----------
    edit_id : str
        Identifier chosen by the operator's client; a resend repeats it.
    operator : str
        Name of the operator.
    expected_number : int
        Number of the profile that the edit replaces, 0 for a new profile.
    profile : Profile
        The complete new profile.
    at_s : float
        Wall clock of the leader that accepted the edit, in seconds. Stored
        in the entry so that every replica applies the same time.
    """

    __slots__ = ('edit_id', 'operator', 'expected_number', 'profile', 'at_s')
    edit_id: str
    operator: str
    expected_number: int
    profile: Profile
    at_s: float


@message(101)
class FollowProfile(Record):
    """Entry that assigns a profile to a service."""

    __slots__ = ('edit_id', 'operator', 'service', 'profile', 'at_s')
    edit_id: str
    operator: str
    service: str
    profile: str
    at_s: float


@message(102)
class OrderMove(Record):
    """Entry with an operator's order for a move, one of `MoveOrder`."""

    __slots__ = ('edit_id', 'operator', 'move', 'order', 'at_s')
    edit_id: str
    operator: str
    move: str
    order: str
    at_s: float


@message(103)
class StepMove(Record):
    """Entry with a step of a move that the leader decided.

    Parameters
    ----------
    move : str
        Identifier of the move.
    expected_step : int
        Step number that the move must have; otherwise the entry has no
        effect.
    state, share, reason : str, float, str
        The move's fields after the step.
    figures : dict of float
        Measurements that the decision is based on.
    at_s : float
        Wall clock of the leader in seconds.
    """

    __slots__ = (
        'move',
        'expected_step',
        'state',
        'share',
        'reason',
        'figures',
        'at_s',
    )
    move: str
    expected_step: int
    state: str
    share: float
    reason: str
    figures: dict[str, float]
    at_s: float


class EditAnswer(Record):
    """Answer to an edit, stored by `edit_id` to answer resends.

    Parameters
    ----------
    status : str
        One of `AnswerStatus`.
    index : int
        Log index of the edit.
    number : int
        Number of the profile after the edit; on a conflict the current one.
    edited_by : str
        On a conflict, the operator whose edit made the current number.
    changes : list of str
        On a conflict, the changes of that edit.
    findings : list of Finding
        Faults of the edit.
    """

    __slots__ = (
        'status',
        'index',
        'number',
        'edited_by',
        'changes',
        'findings',
    )
    status: str
    index: int
    number: int
    edited_by: str
    changes: list[str]
    findings: list[Finding]

"""Entries of the replicated log, and the answers to operators' edits.

Type codes 100 to 119 of the wire are used, since an entry is stored in the
wire's form.
"""

from enum import StrEnum

from mustardspur_core.findings import Finding
from mustardspur_core.profile.model import Profile
from mustardspur_core.record import Record
from mustardspur_core.wire.codec import message


class MoveOrder(StrEnum):
    """What an operator can order for a move."""

    PAUSE = 'pause'
    RESUME = 'resume'
    TAKE_BACK = 'take_back'
    FORCE = 'force'


class AnswerStatus(StrEnum):
    """Outcome of an edit."""

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    INVALID = 'invalid'
    UNKNOWN = 'unknown'


@message(100)
class PutProfile(Record):
    """Replaces a profile, or adds one.

    Parameters
    ----------
    edit_id : str
        Identifier that the operator's client chose; a resend has the same.
    operator : str
        Who edits.
    expected_number : int
        Number of the profile that the edit replaces, 0 for a new one.
    profile : Profile
        The new profile, complete.
    at_s : float
        Wall clock of the leader that took the edit, so that every replica
        applies the same time.
    """

    __slots__ = ('edit_id', 'operator', 'expected_number', 'profile', 'at_s')
    edit_id: str
    operator: str
    expected_number: int
    profile: Profile
    at_s: float


@message(101)
class FollowProfile(Record):
    """Lets a service follow a profile."""

    __slots__ = ('edit_id', 'operator', 'service', 'profile', 'at_s')
    edit_id: str
    operator: str
    service: str
    profile: str
    at_s: float


@message(102)
class OrderMove(Record):
    """An operator's order for a move; `order` is one of `MoveOrder`."""

    __slots__ = ('edit_id', 'operator', 'move', 'order', 'at_s')
    edit_id: str
    operator: str
    move: str
    order: str
    at_s: float


@message(103)
class StepMove(Record):
    """A step that the leader decided.

    Parameters
    ----------
    move : str
        Identifier of the move.
    expected_step : int
        Step that this one follows; the entry has no effect on any other.
    state, share, reason : str, float, str
        The move's fields after the step.
    figures : dict of float
        Numbers that the decision rests on.
    at_s : float
        Wall clock of the leader.
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
    """Answer to an edit, kept with its identifier for resends.

    Parameters
    ----------
    status : str
        One of `AnswerStatus`.
    index : int
        Log index of the edit.
    number : int
        Number of the profile after the edit, the current one on a conflict.
    edited_by : str
        Who made the current number, on a conflict.
    changes : list of str
        What that edit changed, on a conflict.
    findings : list of Finding
        What is wrong with the edit.
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

"""Records of the applied state in the layout of a snapshot."""

from typing import Final

from mustardspur_core.edits import EditAnswer
from mustardspur_core.profile import Profile
from mustardspur_core.record import Record
from mustardspur_core.state import Move

STATE_FORMAT: Final = 1


class ProfileEdit(Record):
    """An accepted edit of a profile, as listed in the answer to a conflict."""

    __slots__ = ('number', 'index', 'operator', 'at_s', 'changes')
    number: int
    index: int
    operator: str
    at_s: float
    changes: list[str]


class StoredProfile(Record):
    """A profile with its number and its latest edits, newest last."""

    __slots__ = ('number', 'index', 'profile', 'edits')
    number: int
    index: int
    profile: Profile
    edits: list[ProfileEdit]


class FollowedService(Record):
    """The profile and moves of a service.

    Parameters
    ----------
    profile : str
        Name of the profile.
    index : int
        Log index of the newest entry that changed the configuration.
    move_ids : dict of str
        Newest move by target set, for each set that had a move.
    """

    __slots__ = ('profile', 'index', 'move_ids')
    profile: str
    index: int
    move_ids: dict[str, str]


class StoredDecision(Record):
    """A decision that made a step of a move.

    Parameters
    ----------
    step : int
        Number of the step, 0 for the start.
    index : int
        Log index of the entry.
    at_s : float
        Wall clock in seconds of the leader that proposed the entry.
    by : str
        Operator's name, or ``leader`` for a decision on evidence.
    figures : dict of float
        Numbers that the decision is based on.
    """

    __slots__ = (
        'step',
        'index',
        'at_s',
        'by',
        'state',
        'share',
        'reason',
        'figures',
    )
    step: int
    index: int
    at_s: float
    by: str
    state: str
    share: float
    reason: str
    figures: dict[str, float]


class MoveRecord(Record):
    """A move, the profile edit that started it and its decisions in order."""

    __slots__ = ('move', 'profile', 'number', 'decisions')
    move: Move
    profile: str
    number: int
    decisions: list[StoredDecision]


class StoredAnswer(Record):
    """First answer to an edit.

    Parameters
    ----------
    digest : str
        Digest of the edit's content, without its time.
    at_s : float
        Wall clock in seconds of the leader that proposed the edit.
    """

    __slots__ = ('digest', 'at_s', 'answer')
    digest: str
    at_s: float
    answer: EditAnswer


class StoreState(Record):
    """The whole applied state.

    Parameters
    ----------
    format : int
        Version of this layout; a snapshot of another one is refused.
    index : int
        Log index of the last applied entry.
    answers : dict of bytes
        `StoredAnswer` as msgpack by edit identifier, oldest first.
    """

    __slots__ = (
        'format',
        'index',
        'profiles',
        'services',
        'moves',
        'answers',
    )
    format: int
    index: int
    profiles: dict[str, StoredProfile]
    services: dict[str, FollowedService]
    moves: dict[str, MoveRecord]
    answers: dict[str, bytes]


def empty_state() -> StoreState:
    """Return the state before the first entry."""
    return StoreState(
        format=STATE_FORMAT,
        index=0,
        profiles={},
        services={},
        moves={},
        answers={},
    )

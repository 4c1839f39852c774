"""Data classes of the applied state, as a snapshot stores them."""

from typing import Final

from mustardspur_core.edits import EditAnswer
from mustardspur_core.profile import Profile
from mustardspur_core.record import Record
from mustardspur_core.state import Move

STATE_FORMAT: Final = 1


class ProfileEdit(Record):
    """An accepted edit of a profile, as the loser of a race is told of it."""

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
    """What a service follows.

    Parameters
    ----------
    profile : str
        Name of the profile.
    index : int
        Log index of the newest entry that changed the configuration.
    move_ids : dict of str
        Newest move by target set, for each set that ever moved.
    """

    __slots__ = ('profile', 'index', 'move_ids')
    profile: str
    index: int
    move_ids: dict[str, str]


class Decision(Record):
    """A step of a move with its reason.

    Parameters
    ----------
    step : int
        Step that the decision made, 0 for the start.
    index : int
        Log index of the entry.
    at_s : float
        Wall clock of the leader that took the entry.
    by : str
        Operator's name, or ``leader`` for a decision on evidence.
    figures : dict of float
        Numbers that the decision rests on.
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
    """A move, the profile edit behind it and its decisions, oldest first."""

    __slots__ = ('move', 'profile', 'number', 'decisions')
    move: Move
    profile: str
    number: int
    decisions: list[Decision]


class KeptAnswer(Record):
    """First answer to an edit.

    Parameters
    ----------
    digest : str
        Digest of the edit's content, without its time.
    at_s : float
        Wall clock of the leader that took the edit.
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
        Version of this layout, for a snapshot of another version.
    index : int
        Log index of the last applied entry.
    answers : dict of bytes
        `KeptAnswer` as msgpack by edit identifier, oldest first.
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

"""Replicated state of the control instances that nodes receive."""

from enum import StrEnum

from mustardspur_core.locations import DataCentre
from mustardspur_core.profile.model import Profile
from mustardspur_core.record import Record


class MoveState(StrEnum):
    """State of a move."""

    RUNNING = 'running'
    PAUSED = 'paused'
    DONE = 'done'
    TAKEN_BACK = 'taken_back'


class TargetState(StrEnum):
    """State announced by a target."""

    STARTING = 'starting'
    READY = 'ready'
    DRAINING = 'draining'


class Move(Record):
    """A move of a target set from one version to another.

    Parameters
    ----------
    id : str
        ``service:target_set:index`` with the log index of its edit.
    started_s, by_s : float
        Start and deadline, wall clock in seconds.
    state : str
        One of `MoveState`.
    share : float
        Share of the traffic that goes to the new version.
    step : int
        Number of committed steps; a later step replaces an earlier one.
    reason : str
        Reason of the last step.
    """

    __slots__ = (
        'id',
        'service',
        'target_set',
        'from_version',
        'to_version',
        'started_s',
        'by_s',
        'state',
        'share',
        'step',
        'reason',
    )
    id: str
    service: str
    target_set: str
    from_version: str
    to_version: str
    started_s: float
    by_s: float
    state: str
    share: float
    step: int
    reason: str


class ServiceConfig(Record):
    """Configuration of one service without its targets.

    Parameters
    ----------
    service : str
        Name of the service.
    index : int
        Log index of the newest entry that changed the configuration.
    number : int
        Number of the profile; each edit of the profile increments it.
    profile : Profile
        The complete profile that the service follows.
    moves : list of Move
        The newest move of each target set that has had one.
    """

    __slots__ = ('service', 'index', 'number', 'profile', 'moves')
    service: str
    index: int
    number: int
    profile: Profile
    moves: list[Move]


class Target(Record):
    """A target as announced to its node.

    Parameters
    ----------
    id : str
        Identifier of the target, chosen by its instance.
    service, version : str
        Service that it implements, and version of the software.
    address : str
        ``ip:port`` for calls.
    incarnation : int
        Number that increases with every start of the target.
    slots : int
        Maximum number of concurrent calls.
    state : str
        One of `TargetState`.
    node : str
        Identifier of the node on the same instance.
    data_centre, region : str
        Location of the target.
    """

    __slots__ = (
        'id',
        'service',
        'version',
        'address',
        'incarnation',
        'slots',
        'state',
        'node',
        'data_centre',
        'region',
    )
    id: str
    service: str
    version: str
    address: str
    incarnation: int
    slots: int
    state: str
    node: str
    data_centre: str
    region: str

    @property
    def location(self) -> DataCentre:
        """The data centre that the target runs in."""
        return DataCentre(name=self.data_centre, region=self.region)

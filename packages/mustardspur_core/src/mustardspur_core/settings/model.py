"""Data classes of the settings."""

from mustardspur_core.record import Record
from mustardspur_core.world import DataCentre


class Listen(Record):
    """Addresses that a process listens on, each ``ip:port``.

    Parameters
    ----------
    stream : str or None
        For frames between mustardspur's processes; control instances only.
    http : str
        For calls at a node, for operators at a control instance.
    """

    __slots__ = ('stream', 'http')
    stream: str | None
    http: str


class Peer(Record):
    """A control instance as the settings of the others name it."""

    __slots__ = ('id', 'stream', 'http', 'data_centre', 'region', 'voter')
    id: str
    stream: str
    http: str
    data_centre: str
    region: str
    voter: bool


class Intervals(Record):
    """Durations in seconds.

    Parameters
    ----------
    heartbeat_s : float
        Between two heartbeats on a stream.
    silence_s : float
        Without any frame after which a stream is closed.
    lease_s : float
        For which a target's announcement holds.
    election_s : float
        Shortest election timeout of a voter.
    drain_s : float
        For which a stopping process waits for calls in flight.
    """

    __slots__ = (
        'heartbeat_s',
        'silence_s',
        'lease_s',
        'election_s',
        'drain_s',
    )
    heartbeat_s: float
    silence_s: float
    lease_s: float
    election_s: float
    drain_s: float


class Settings(Record):
    """Everything that one process is told."""

    __slots__ = (
        'role',
        'id',
        'data_centre',
        'region',
        'data_dir',
        'listen',
        'peers',
        'control',
        'service',
        'calls',
        'statsd',
        'log_level',
        'timeline',
        'intervals',
    )
    role: str
    id: str
    data_centre: str
    region: str
    data_dir: str | None
    listen: Listen
    peers: list[Peer]
    control: list[str]
    service: str | None
    calls: list[str]
    statsd: str | None
    log_level: str
    timeline: str | None
    intervals: Intervals

    @property
    def location(self) -> DataCentre:
        """The data centre that the process runs in."""
        return DataCentre(name=self.data_centre, region=self.region)

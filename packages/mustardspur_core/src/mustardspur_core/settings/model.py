"""Data classes of the settings."""

from mustardspur_core.locations import DataCentre
from mustardspur_core.record import Record


class Listen(Record):
    """Addresses that a process listens on, each ``ip:port``.

    Parameters
    ----------
    stream : str or None
        For frame streams between mustardspur processes; a node has one only
        in a mesh.
    http : str
        For calls on a node, for operators on a control instance.
    ready : str or None
        For readiness checks of a node of a mesh.
    targets : str or None
        For announcements of the local target of a node of a mesh.
    metrics : str or None
        For scraping of metrics.
    """

    __slots__ = ('stream', 'http', 'ready', 'targets', 'metrics')
    stream: str | None
    http: str
    ready: str | None
    targets: str | None
    metrics: str | None


class Peer(Record):
    """Addresses and location of another control instance."""

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
        Interval between heartbeats on a stream.
    silence_s : float
        Timeout after which a stream without frames is closed.
    lease_s : float
        Lease of a target's announcement.
    election_s : float
        Minimum election timeout of a voter.
    drain_s : float
        Maximum time that a stopping process waits for calls in flight.
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


class MeshSettings(Record):
    """Additional settings of a process in a mesh.

    Parameters
    ----------
    seeds : list of str
        ``ip:port`` of the operator interface of some control instances.
    first_start : bool
        Whether the whole system starts for the first time.
    target_address : str or None
        ``ip:port`` of the local target of a node.
    grace_s : float
        Time between the stop signal and the kill.
    contact_s : float
        Time without errors after which a process counts as connected.
    retry_ratio, retry_slack : float
        Retry budget of a service over all nodes within `retry_window_s`: a
        ratio of its calls plus a fixed number, which may be fractional.
    exposure_share : float
        Maximum share of a service's calls that a faulty version may get,
        0 to 1.
    data_centres : dict of str
        Region of each data centre of the mesh, empty if not stated.
    limit_window_s, limit_tolerance, limit_slack : float
        Tolerance of the rate limits of accounts over all nodes: within any
        such window, a fraction of the limit plus a number of calls.
    link_mbps : float
        Bandwidth of the instance's own link, 0 if not stated.
    memory_mb : float
        Memory that the process may use, in MiB.
    max_descriptors : int
        Descriptors that the process may open, 0 if not stated.
    reserved_descriptors : int
        How many of these are only for files outside of the data folder.
    max_table_bytes : int
        Largest table that operators may send.
    balancing : str
        Name of the policy that selects targets.
    silent_target_s : float
        Time without a sign of life after which a target counts as crashed, 0
        for no such detection.
    """

    __slots__ = (
        'seeds',
        'first_start',
        'target_address',
        'grace_s',
        'contact_s',
        'retry_ratio',
        'retry_slack',
        'retry_window_s',
        'exposure_share',
        'data_centres',
        'limit_window_s',
        'limit_tolerance',
        'limit_slack',
        'link_mbps',
        'memory_mb',
        'max_descriptors',
        'reserved_descriptors',
        'max_table_bytes',
        'balancing',
        'silent_target_s',
    )
    seeds: list[str]
    first_start: bool
    target_address: str | None
    grace_s: float
    contact_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    exposure_share: float
    data_centres: dict[str, str]
    limit_window_s: float
    limit_tolerance: float
    limit_slack: float
    link_mbps: float
    memory_mb: float
    max_descriptors: int
    reserved_descriptors: int
    max_table_bytes: int
    balancing: str
    silent_target_s: float


class Settings(Record):
    """All settings of one process."""

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
        'mesh',
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
    mesh: MeshSettings | None

    @property
    def location(self) -> DataCentre:
        """The data centre that the process runs in."""
        return DataCentre(name=self.data_centre, region=self.region)

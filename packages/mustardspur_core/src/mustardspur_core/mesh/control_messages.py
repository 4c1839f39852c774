"""Messages between nodes and control instances, and among the latter.

Type codes 120 to 139 are used between nodes and control instances, 140 to
159 between control instances.
"""

from mustardspur_core.mesh.model import MeshTarget, Transfer
from mustardspur_core.mesh.packing import TableDelta
from mustardspur_core.record import Record
from mustardspur_core.settings import Peer
from mustardspur_core.wire.codec import message


@message(120)
class MeshHello(Record):
    """First frame of a node to a control instance.

    Parameters
    ----------
    held_index : int
        Log index of the routing table that the node holds, 0 for none.
    """

    __slots__ = ('node', 'data_centre', 'region', 'held_index')
    node: str
    data_centre: str
    region: str
    held_index: int


@message(121)
class MeshAnnounce(Record):
    """The node's own row, with its target if there is one."""

    __slots__ = ('target',)
    target: MeshTarget


@message(122)
class MeshTargets(Record):
    """Rows of nodes.

    Parameters
    ----------
    full : bool
        Whether nodes that are not named are gone.
    removed : list of str
        Streams of the nodes that are gone.
    """

    __slots__ = ('full', 'upserts', 'removed')
    full: bool
    upserts: list[MeshTarget]
    removed: list[str]


@message(123)
class MeshTable(Record):
    """A change of the routing table.

    Parameters
    ----------
    confirmed : bool
        Whether a read barrier after the node's greeting confirmed that the
        table is the newest one.
    """

    __slots__ = ('delta', 'confirmed')
    delta: TableDelta
    confirmed: bool


@message(124)
class MeshTransfers(Record):
    """Transfers, and the version that each service has without one."""

    __slots__ = ('index', 'transfers', 'base_versions')
    index: int
    transfers: list[Transfer]
    base_versions: dict[str, str]


@message(125)
class MeshBeat(Record):
    """Regular sign of life.

    Parameters
    ----------
    current : bool
        Whether the sender follows a leader that a quorum follows; a node
        sends True.
    controls : list of Peer
        Control instances that the sender knows of, if they have changed
        since the last beat; empty from a node.
    """

    __slots__ = ('current', 'controls')
    current: bool
    controls: list[Peer]


class EvidenceRow(Record):
    """Outcomes of the calls of a route at one version, since the start.

    Parameters
    ----------
    failed : int
        Answers that the target failed.
    timed : int
        Runs whose time counts; those of a cold target do not.
    busy_ms : float
        Sum of the times of the timed runs.
    """

    __slots__ = (
        'service',
        'version',
        'route',
        'runs',
        'failed',
        'timed',
        'busy_ms',
    )
    service: str
    version: str
    route: str
    runs: int
    failed: int
    timed: int
    busy_ms: float


@message(126)
class MeshEvidence(Record):
    """All counts of a node since its start.

    Parameters
    ----------
    node : str
        Stream of the node.
    incarnation : int
        Start of the node; its counts begin at 0 with each.
    """

    __slots__ = ('node', 'incarnation', 'rows')
    node: str
    incarnation: int
    rows: list[EvidenceRow]


@message(140)
class ControlHello(Record):
    """First frame of a control instance to another one."""

    __slots__ = ('sender',)
    sender: Peer

"""Messages between nodes and control instances.

Type codes 1 to 39 are used here, 40 to 69 by the replicated log and 70 to 99
between control instances.
"""

from mustardspur_core.record import Record
from mustardspur_core.state import ServiceConfig, Target
from mustardspur_core.wire.codec import message


@message(1)
class Hello(Record):
    """First frame of a node.

    Parameters
    ----------
    node, data_centre, region : str
        Who connects and from where.
    incarnation : int
        Goes up with every start of the node.
    services : list of str
        Services whose configuration and targets the node needs.
    held : dict of int
        Index of the configuration that it holds, by service.
    target_revisions : dict of str
        Revision of the targets that it holds, by service; a revision is
        only comparable for the control instance that gave it out.
    """

    __slots__ = (
        'node',
        'data_centre',
        'region',
        'incarnation',
        'services',
        'held',
        'target_revisions',
    )
    node: str
    data_centre: str
    region: str
    incarnation: int
    services: list[str]
    held: dict[str, int]
    target_revisions: dict[str, str]


@message(2)
class Welcome(Record):
    """Answer to `Hello`.

    Parameters
    ----------
    control : str
        Identifier of the control instance.
    confirmed : bool
        Whether its state was confirmed by a read barrier after `Hello`.
    """

    __slots__ = ('control', 'confirmed')
    control: str
    confirmed: bool


@message(3)
class Busy(Record):
    """Refuses a connection for now."""

    __slots__ = ('retry_after_ms',)
    retry_after_ms: int


@message(4)
class Subscribe(Record):
    """Adds services to those that a node needs."""

    __slots__ = ('services',)
    services: list[str]


@message(5)
class Announce(Record):
    """The targets of a node's instance, complete; replaces earlier ones."""

    __slots__ = ('targets',)
    targets: list[Target]


@message(6)
class ConfigUpdate(Record):
    """Configuration of a service.

    Parameters
    ----------
    service : str
        Name of the service.
    index : int
        Index that is in force after the update.
    base_index : int
        Index that `delta` starts from; 0 for a full copy.
    full : ServiceConfig or None
        The full copy.
    delta : dict or None
        Changed parts in the form of `mustardspur_core.deltas`.
    """

    __slots__ = ('service', 'index', 'base_index', 'full', 'delta')
    service: str
    index: int
    base_index: int
    full: ServiceConfig | None
    delta: dict[str, object] | None


@message(7)
class TargetUpdate(Record):
    """Targets of a service.

    Parameters
    ----------
    service : str
        Name of the service.
    revision : str
        Revision after the update.
    full : bool
        Whether targets that are not in `upserts` are gone.
    upserts : list of Target
        New and changed targets.
    removals : list of str
        Identifiers of targets that are gone.
    """

    __slots__ = ('service', 'revision', 'full', 'upserts', 'removals')
    service: str
    revision: str
    full: bool
    upserts: list[Target]
    removals: list[str]


@message(8)
class Applied(Record):
    """What a node has in force for a service.

    Parameters
    ----------
    index : int
        Index in force.
    pending_index : int
        Newest index that it received; equal to `index` if nothing waits.
    reason : str
        Why the newest is not in force, empty if it is.
    """

    __slots__ = ('service', 'index', 'pending_index', 'reason')
    service: str
    index: int
    pending_index: int
    reason: str


class OutcomeRow(Record):
    """Outcomes of calls at one version, route and data centre.

    Parameters
    ----------
    target : str
        Identifier of the target, for telling a sick target from a version.
    caller : str
        Organisation of the caller, empty where it is not known.
    calls, failures, refusals : int
        Counts since the last report.
    latency_counts : dict of int
        Count by bucket number, as text, of the log-scale histogram in
        `mustardspur_moves`.
    """

    __slots__ = (
        'version',
        'route',
        'data_centre',
        'target',
        'caller',
        'calls',
        'failures',
        'refusals',
        'latency_counts',
    )
    version: str
    route: str
    data_centre: str
    target: str
    caller: str
    calls: int
    failures: int
    refusals: int
    latency_counts: dict[str, int]


@message(9)
class Outcomes(Record):
    """Evidence of a node about a move, counted since its last report.

    Parameters
    ----------
    move : str
        Identifier of the move.
    step : int
        Step of the move that was in force for the calls.
    """

    __slots__ = ('move', 'step', 'rows')
    move: str
    step: int
    rows: list[OutcomeRow]


@message(10)
class CutOff(Record):
    """Ends all traffic to the new version of a move; never withdrawn."""

    __slots__ = ('move', 'version', 'origin', 'reason')
    move: str
    version: str
    origin: str
    reason: str


@message(11)
class Heartbeat(Record):
    """Shows that the sender is there."""

    __slots__ = ('sequence',)
    sequence: int


@message(12)
class ProtocolFault(Record):
    """Last frame to a peer whose frame could not be used."""

    __slots__ = ('kind', 'detail')
    kind: str
    detail: str

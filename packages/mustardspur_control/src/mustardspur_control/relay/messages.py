"""Messages between control instances; type codes 70 to 79."""

from mustardspur_core.messages import TargetUpdate
from mustardspur_core.record import Record
from mustardspur_core.state import Target
from mustardspur_core.wire import message


@message(70)
class RelayHello(Record):
    """First frame of a stream from one control instance to another."""

    __slots__ = ('control', 'data_centre', 'region')
    control: str
    data_centre: str
    region: str


@message(71)
class RegistryUpdate(Record):
    """Targets that the nodes of the sender announced.

    Parameters
    ----------
    settled : bool
        Whether all nodes of the sender had time to announce after its
        start; until then, a missing target may still exist.
    update : TargetUpdate
        The targets of all services, under an empty service name.
    """

    __slots__ = ('settled', 'update')
    settled: bool
    update: TargetUpdate


class SummaryRow(Record):
    """Targets of one service and version in a region.

    Parameters
    ----------
    ready, slots : int
        Ready targets and their slots.
    sample : list of Target
        A few of the ready targets.
    """

    __slots__ = ('service', 'version', 'ready', 'slots', 'sample')
    service: str
    version: str
    ready: int
    slots: int
    sample: list[Target]


@message(72)
class RegistrySummary(Record):
    """Summary of the targets of a region.

    Parameters
    ----------
    region : str
        The region.
    services : list of str
        Services that are new, changed or removed since the last frame; the
        first frame of a stream has all services.
    rows : list of SummaryRow
        All rows of these services.
    full : bool
        Whether services that are not listed have no targets.
    """

    __slots__ = ('region', 'services', 'rows', 'full')
    region: str
    services: list[str]
    rows: list[SummaryRow]
    full: bool


class AppliedRow(Record):
    """Nodes with equal reports on a service."""

    __slots__ = (
        'service',
        'index',
        'pending_index',
        'reason',
        'control',
        'nodes',
    )
    service: str
    index: int
    pending_index: int
    reason: str
    control: str
    nodes: list[str]


@message(73)
class AppliedSummary(Record):
    """Changed reports of nodes, sent towards the leader."""

    __slots__ = ('rows',)
    rows: list[AppliedRow]

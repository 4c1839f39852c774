"""Entries of the replicated log of a mesh; type codes 180 to 199."""

from mustardspur_core.record import Record
from mustardspur_core.wire.codec import message


@message(180)
class PublishTable(Record):
    """Replaces the routing table.

    Parameters
    ----------
    number, base : int
        Number of the table and of the one that it is based on, 0 for none.
    digest : str
        Digest of the base number and the document.
    packed : bytes
        The table, as `pack_table` returns it.
    document : bytes
        The operator's document as it was sent, compressed.
    """

    __slots__ = ('number', 'base', 'digest', 'packed', 'document')
    number: int
    base: int
    digest: str
    packed: bytes
    document: bytes


@message(181)
class StartTransfer(Record):
    """Starts the transfer of a service to a version."""

    __slots__ = ('service', 'version', 'duration_ms', 'at_s')
    service: str
    version: str
    duration_ms: float
    at_s: float


@message(182)
class StepTransfer(Record):
    """Advances a transfer to a state and share that the leader decided.

    Parameters
    ----------
    expected_step : int
        Latest step of the transfer; the entry has no effect if it differs.
    """

    __slots__ = (
        'service',
        'version',
        'expected_step',
        'state',
        'share',
        'elapsed_ms',
    )
    service: str
    version: str
    expected_step: int
    state: str
    share: float
    elapsed_ms: float


@message(183)
class SetBaseVersion(Record):
    """Records the version that a service has before any transfer."""

    __slots__ = ('service', 'version')
    service: str
    version: str


@message(184)
class ChangeTable(Record):
    """Replaces the routing table by a change of the table in force.

    A table differs from the one before in few places, so the entry is far
    smaller than a `PublishTable` of the same table.

    Parameters
    ----------
    number, base : int
        Number of the table and of the one that it is based on.
    base_index : int
        Log index of the table that it is based on; the entry has no effect on
        another one.
    digest : str
        Digest of the base number and the document.
    packed : bytes
        The table, compressed relative to the packed table that it is based
        on.
    document : bytes
        The operator's document, compressed relative to the document of the
        table that it is based on.
    """

    __slots__ = (
        'number',
        'base',
        'base_index',
        'digest',
        'packed',
        'document',
    )
    number: int
    base: int
    base_index: int
    digest: str
    packed: bytes
    document: bytes


@message(185)
class EvacuateDataCentre(Record):
    """Withdraws all targets of a data centre until it is readmitted.

    Parameters
    ----------
    known : list of str
        Data centres that the leader knows; the entry has no effect if it
        would leave none of them.
    """

    __slots__ = ('data_centre', 'known')
    data_centre: str
    known: list[str]


@message(186)
class ReadmitDataCentre(Record):
    """Ends the evacuation of a data centre."""

    __slots__ = ('data_centre',)
    data_centre: str


@message(187)
class LiftBlock(Record):
    """Ends the block of a call and voids its crashes until now.

    Parameters
    ----------
    fingerprint : bytes
        Fingerprint of the call.
    """

    __slots__ = ('fingerprint',)
    fingerprint: bytes


class MeshAnswer(Record):
    """Result of applying an entry.

    Parameters
    ----------
    status : str
        ``accepted``, ``conflict`` or ``invalid``.
    number : int
        Number of the table in force.
    """

    __slots__ = ('status', 'number')
    status: str
    number: int

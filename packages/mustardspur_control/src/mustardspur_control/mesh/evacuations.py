"""Evacuation of data centres, as a control instance offers it to operators."""

import logging
from typing import Final

from expression import Error, Ok, Result
from mustardspur_core.mesh.entries import (
    EvacuateDataCentre,
    MeshAnswer,
    ReadmitDataCentre,
)
from mustardspur_core.metrics import Metrics
from mustardspur_core.record import Record
from mustardspur_core.settings import MeshSettings

from mustardspur_control.mesh.log_access import LogAccess, OperationError
from mustardspur_control.mesh.membership import Membership
from mustardspur_control.mesh.registry import MeshRegistry
from mustardspur_control.mesh.store import MeshStore

_LOG: Final = logging.getLogger(__name__)

UNKNOWN: Final = 'unknown'


class Evacuations(Record):
    """Data centres of the mesh: the evacuated ones and those that are left."""

    __slots__ = ('evacuated', 'left')
    evacuated: list[str]
    left: list[str]


class EvacuationOutcome(Record):
    """Result of an order to evacuate or to readmit a data centre.

    Parameters
    ----------
    status : str
        ``accepted``, ``conflict`` if no data centre would be left, or
        ``unknown`` for a data centre that the mesh does not have.
    data_centre : str
        The data centre of the order.
    state : Evacuations
        State after the order; for a conflict, ``left`` is what the order
        would have left.
    """

    __slots__ = ('status', 'data_centre', 'state')
    status: str
    data_centre: str
    state: Evacuations


class KnownDataCentres:
    """Data centres of the mesh, from the settings or as they are observed.

    Parameters
    ----------
    mesh : MeshSettings
        Settings of the mesh, which may state all data centres.
    registry : MeshRegistry
        Registrations of all nodes.
    members : Membership
        Live control instances.
    """

    __slots__ = ('_members', '_mesh', '_registry')

    def __init__(
        self,
        mesh: MeshSettings,
        registry: MeshRegistry,
        members: Membership,
    ) -> None:
        """Initialise with the sources of the names."""
        self._mesh = mesh
        self._registry = registry
        self._members = members

    @property
    def names(self) -> set[str]:
        """Names of the settings; without them, those of live processes."""
        if self._mesh.data_centres:
            return set(self._mesh.data_centres)
        nodes = self._registry.by_node.values()
        names = {registration.data_centre for registration in nodes}
        names.update(peer.data_centre for peer in self._members.controls)
        names.discard('')
        return names


class EvacuationOperations:
    """Orders to evacuate and to readmit, and linearizable reads of both.

    Parameters
    ----------
    access : LogAccess
        Commits the orders and confirms the reads.
    store : MeshStore
        The applied state.
    known : KnownDataCentres
        Data centres that can be evacuated.
    """

    __slots__ = ('_access', '_known', '_store')

    def __init__(
        self,
        access: LogAccess,
        store: MeshStore,
        known: KnownDataCentres,
    ) -> None:
        """Initialise the operations on a log and its applied state."""
        self._access = access
        self._store = store
        self._known = known

    async def evacuate(
        self,
        data_centre: str,
    ) -> Result[EvacuationOutcome, OperationError]:
        """Withdraw all targets of a data centre.

        An order for a data centre that is evacuated is accepted again.

        Returns
        -------
        Result
            The outcome, or an error if this instance cannot determine it.
        """
        entry = EvacuateDataCentre(
            data_centre=data_centre,
            known=sorted(self._known.names),
        )
        return await self._order(entry)

    async def readmit(
        self,
        data_centre: str,
    ) -> Result[EvacuationOutcome, OperationError]:
        """End the evacuation of a data centre.

        An order for a data centre that is not evacuated is accepted.

        Returns
        -------
        Result
            The outcome, or an error if this instance cannot determine it.
        """
        return await self._order(ReadmitDataCentre(data_centre=data_centre))

    async def read(self) -> Result[Evacuations, OperationError]:
        """Return the evacuated data centres and those that are left.

        Returns
        -------
        Result
            An error if no quorum confirms that the state is current.
        """
        confirmed = await self._access.confirm()
        if confirmed.is_error():
            return Error(confirmed.error)
        return Ok(self._state())

    async def _order(
        self,
        entry: EvacuateDataCentre | ReadmitDataCentre,
    ) -> Result[EvacuationOutcome, OperationError]:
        # The leader answers first: another instance may not know all nodes.
        refusal = self._access.refusal()
        if refusal is not None:
            return Error(refusal)
        if not self._is_known(entry.data_centre):
            return Ok(self._outcome(entry, UNKNOWN))
        answer = await self._access.propose(entry)
        _log_order(entry, answer)
        if answer.is_error():
            return Error(answer.error)
        return Ok(self._outcome(entry, answer.ok.status))

    def _is_known(self, data_centre: str) -> bool:
        """Return whether an order may name a data centre.

        An evacuated one may have no process any more but can be readmitted.
        """
        evacuated = self._store.state.evacuated
        return data_centre in self._known.names.union(evacuated)

    def _outcome(
        self,
        entry: EvacuateDataCentre | ReadmitDataCentre,
        status: str,
    ) -> EvacuationOutcome:
        state = self._state()
        if status != UNKNOWN and isinstance(entry, EvacuateDataCentre):
            state.left = [
                name for name in state.left if name != entry.data_centre
            ]
        return EvacuationOutcome(
            status=status,
            data_centre=entry.data_centre,
            state=state,
        )

    def _state(self) -> Evacuations:
        evacuated = list(self._store.state.evacuated)
        left = self._known.names.difference(evacuated)
        return Evacuations(evacuated=evacuated, left=sorted(left))


class EvacuationReporter:
    """Logs each change of the evacuations of a store, and sets their gauge.

    Parameters
    ----------
    store : MeshStore
        The applied state.
    metrics : Metrics
        Receives the number of evacuated data centres.
    """

    __slots__ = ('_metrics', '_reported', '_store')

    def __init__(self, store: MeshStore, metrics: Metrics) -> None:
        """Register for the changes of the store, also by a snapshot."""
        self._store = store
        self._metrics = metrics
        self._reported: list[str] = []
        metrics.gauge('evacuated_data_centres', 0)
        store.on_change(self._report)

    def _report(self) -> None:
        state = self._store.state
        if state.evacuated == self._reported:
            return
        _LOG.info(
            'evacuations changed',
            extra={
                'evacuated': state.evacuated,
                'before': self._reported,
                'index': state.index,
            },
        )
        self._reported = list(state.evacuated)
        self._metrics.gauge('evacuated_data_centres', len(state.evacuated))


def _log_order(
    entry: EvacuateDataCentre | ReadmitDataCentre,
    answer: Result[MeshAnswer, OperationError],
) -> None:
    is_evacuation = isinstance(entry, EvacuateDataCentre)
    _LOG.info(
        'evacuation ordered' if is_evacuation else 'readmission ordered',
        extra={
            # `data_centre` of a line is the one of the process.
            'ordered': entry.data_centre,
            'outcome': 'unanswered' if answer.is_error() else answer.ok.status,
            'reason': answer.error.reason if answer.is_error() else '',
        },
    )

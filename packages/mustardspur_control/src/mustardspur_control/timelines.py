"""Events of a control instance that order the events of all processes."""

import xxhash
from expression import Result
from mustardspur_agreement.ports import (
    Committed,
    CommittedLog,
    ProposalError,
)
from mustardspur_core.timeline import Timeline

from mustardspur_control.store import Store


class RecordedLog:
    """Records the proposals to a log in the time line.

    Explanation
    ===========

    ``entry_proposed`` is recorded before any other process can know the
    entry, and ``entry_committed`` gives its index. A reader of all time lines
    can therefore order each event with this index after ``entry_proposed``.

    Parameters
    ----------
    log : CommittedLog
        The log that is wrapped.
    timeline : Timeline
        Time line of this process.
    """

    __slots__ = ('_log', '_timeline')

    def __init__(self, log: CommittedLog, timeline: Timeline) -> None:
        """Initialise with the log that is wrapped."""
        self._log = log
        self._timeline = timeline

    @property
    def is_leader(self) -> bool:
        """Whether this instance leads the current term."""
        return self._log.is_leader

    @property
    def leader(self) -> str | None:
        """Identifier of the current leader, if known."""
        return self._log.leader

    @property
    def term(self) -> int:
        """Current term."""
        return self._log.term

    @property
    def commit_index(self) -> int:
        """Highest committed index that this instance knows of."""
        return self._log.commit_index

    async def propose(self, entry: bytes) -> Result[Committed, ProposalError]:
        """Commit an entry on a quorum and apply it."""
        digest = xxhash.xxh3_64_hexdigest(entry)
        self._timeline.record('entry_proposed', entry=digest)
        proposal = await self._log.propose(entry)
        if proposal.is_ok():
            self._timeline.record(
                'entry_committed',
                entry=digest,
                index=proposal.ok.index,
            )
        return proposal

    async def read_barrier(self) -> Result[int, ProposalError]:
        """Return an index that is current now, once it is applied here."""
        return await self._log.read_barrier()


class ChangeRecorder:
    """Records each change of a service's configuration in a time line.

    Explanation
    ===========

    The event ``config_accepted`` has the service, the index and the moves
    with their states and shares.

    Parameters
    ----------
    store : Store
        Store whose changes are recorded.
    timeline : Timeline
        Time line of this process.
    """

    __slots__ = ('_store', '_timeline')

    def __init__(self, store: Store, timeline: Timeline) -> None:
        """Subscribe to the changes of a store."""
        self._store = store
        self._timeline = timeline
        store.on_change(self.record)

    def record(self, service: str) -> None:
        """Record the newest configuration of a service."""
        config = self._store.config(service)
        if config is None:
            return
        self._timeline.record(
            'config_accepted',
            service=service,
            index=config.index,
            moves=[
                f'{move.id} {move.state} {move.share}' for move in config.moves
            ],
        )

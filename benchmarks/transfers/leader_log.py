"""Log of a leader whose entries are committed at once."""

import asyncio
import math
from typing import Final

from expression import Ok, Result
from mustardspur_agreement import Committed, ProposalError
from mustardspur_control.mesh.store import MeshStore
from mustardspur_core.mesh import Transfer

from benchmarks.transfers.service import SERVICE, Service

# Time from a step of a transfer until all nodes apply it.
STEP_DELAY_S: Final = 0.1


class LeaderLog:
    """Applies entries to a store, and the shares of steps to a service.

    Parameters
    ----------
    service : Service
        The service; its share follows after `STEP_DELAY_S`.

    Attributes
    ----------
    store : MeshStore
        The applied state.
    is_leader : bool
        Whether the instance is the leader.
    ended_s : float
        Time of the end of the transfer, infinite before it.
    """

    def __init__(self, service: Service) -> None:
        """Initialise without entries."""
        self._service = service
        self._index = 0
        self.store = MeshStore()
        self.is_leader = True
        self.ended_s = math.inf

    @property
    def transfer(self) -> Transfer:
        """The transfer of the service."""
        return self.store.state.transfers[SERVICE]

    async def propose(self, entry: bytes) -> Result[Committed, ProposalError]:
        """Commit an entry."""
        self._index += 1
        answer = self.store.apply(self._index, entry)
        loop = asyncio.get_running_loop()
        loop.call_later(STEP_DELAY_S, self._apply_share, self.transfer)
        if self.transfer.state != 'running':
            self.ended_s = min(self.ended_s, loop.time())
        return Ok(
            Committed(index=self._index, term=1, holders=[], answer=answer)
        )

    def _apply_share(self, transfer: Transfer) -> None:
        running = transfer.state in {'running', 'completed'}
        self._service.share = transfer.share if running else 0

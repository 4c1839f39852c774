"""The replicated log of one control instance."""

from expression import Result
from mustardspur_core.settings import Peer

from mustardspur_agreement.context import Context
from mustardspur_agreement.entries import MAX_ENTRY_BYTES, EntryKind
from mustardspur_agreement.log_state import LogState
from mustardspur_agreement.messages import PeerGreeting
from mustardspur_agreement.parts import Parts
from mustardspur_agreement.ports import Channel, Committed, ProposalError


class ReplicatedLog(LogState):
    """The replicated log; implements the `CommittedLog` protocol.

    Explanation
    ===========

    The constructor reads and repairs the files and applies what is known to
    be committed. `running_log` then runs the tasks.

    Parameters
    ----------
    context : Context
        Settings, state machine, time line, metrics and surroundings.

    See Also
    --------
    running_log : opens the log in the data folder and runs it.
    """

    __slots__ = ('_parts',)

    def __init__(self, context: Context) -> None:
        """Load the files."""
        self._parts = Parts(context)
        super().__init__(self._parts.replica)

    async def propose(self, entry: bytes) -> Result[Committed, ProposalError]:
        """Commit an entry on a quorum and apply it.

        Parameters
        ----------
        entry : bytes
            The entry, at most 3 MiB.

        Returns
        -------
        Result
            Index and answer of the state machine, or why there is none.

        Raises
        ------
        ValueError
            If the entry is too long.
        """
        if len(entry) > MAX_ENTRY_BYTES:
            raise ValueError(f'{len(entry)} bytes, at most {MAX_ENTRY_BYTES}')
        return await self._parts.proposals.propose(EntryKind.DATA, entry)

    async def read_barrier(self) -> Result[int, ProposalError]:
        """Return an index that is current now, once it is applied here.

        Explanation
        ===========

        The leader confirms after the call that a quorum still follows it.
        """
        return await self._parts.barriers.read()

    async def wait_for_leader(self, timeout_s: float) -> bool:
        """Wait until a leader is known here, for a bounded time.

        Returns
        -------
        bool
            Whether one is known.
        """
        replica = self._replica
        return await replica.changed.wait_until(
            lambda: self.is_leader or replica.leader is not None,
            timeout_s,
        )

    async def add_voter(self, peer: Peer) -> Result[Committed, ProposalError]:
        """Let an instance catch up and make it a voter; leader only."""
        return await self._parts.voters.add(peer)

    async def remove_voter(
        self,
        peer_id: str,
    ) -> Result[Committed, ProposalError]:
        """Remove a voter; leader only."""
        return await self._parts.voters.remove(peer_id)

    async def serve(self, channel: Channel, greeting: PeerGreeting) -> None:
        """Serve a peer's stream whose first frame was its greeting.

        Parameters
        ----------
        channel : Channel
            The accepted stream; closed at the end.
        greeting : PeerGreeting
            The first frame.
        """
        await self._parts.service.serve(channel, greeting)

    async def run(self) -> None:
        """Run the tasks until cancelled; `running_log` does this."""
        await self._parts.run()

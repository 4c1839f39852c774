"""The replicated log of one control instance."""

from expression import Result
from mustardspur_core.settings import Peer

from mustardspur_agreement.components import Components
from mustardspur_agreement.context import Context
from mustardspur_agreement.entries import MAX_ENTRY_BYTES, EntryKind
from mustardspur_agreement.log_state import LogState
from mustardspur_agreement.messages import PeerGreeting
from mustardspur_agreement.ports import Channel, Committed, ProposalError


class ReplicatedLog(LogState):
    """The replicated log; implements the `CommittedLog` protocol.

    Explanation
    ===========

    The constructor reads and repairs the files and applies the entries known
    to be committed. `running_log` then runs the tasks.

    Parameters
    ----------
    context : Context
        Settings, state machine, time line, metrics and environment.

    See Also
    --------
    running_log : opens the log in the data folder and runs it.
    """

    __slots__ = ('_components',)

    def __init__(self, context: Context) -> None:
        """Load the files."""
        self._components = Components(context)
        super().__init__(self._components.replica)

    async def propose(self, entry: bytes) -> Result[Committed, ProposalError]:
        """Commit an entry on a quorum and apply it.

        Parameters
        ----------
        entry : bytes
            The entry, at most 3 MiB.

        Returns
        -------
        Result
            Index and answer of the state machine, or the proposal error.

        Raises
        ------
        ValueError
            If the entry is too long.
        """
        if len(entry) > MAX_ENTRY_BYTES:
            raise ValueError(
                f'the entry has {len(entry)} bytes, expected at most '
                f'{MAX_ENTRY_BYTES}'
            )
        return await self._components.proposals.propose(EntryKind.DATA, entry)

    async def assure(
        self,
        committed: Committed,
    ) -> Result[bool, ProposalError]:
        """Wait until an entry may be acknowledged, while the mesh forms.

        Returns
        -------
        Result
            Whether the entry survives the loss of any one disk; an error of
            kind ``unknown`` if this instance has ceased to lead the term.
        """
        return await self._components.assurance.wait(committed)

    async def read_barrier(self) -> Result[int, ProposalError]:
        """Return a confirmed read index once it is applied locally.

        Explanation
        ===========

        The leader confirms its leadership with a quorum after the call.
        """
        return await self._components.barriers.read()

    async def wait_for_leader(self, timeout_s: float) -> bool:
        """Wait until a leader is known, at most ``timeout_s`` seconds.

        Returns
        -------
        bool
            Whether a leader is known.
        """
        replica = self._replica
        return await replica.changed.wait_until(
            lambda: self.is_leader or replica.leader is not None,
            timeout_s,
        )

    async def add_voter(self, peer: Peer) -> Result[Committed, ProposalError]:
        """Add an instance as a voter once it has caught up; leader only."""
        return await self._components.voters.add(peer)

    async def remove_voter(
        self,
        peer_id: str,
    ) -> Result[Committed, ProposalError]:
        """Remove a voter; leader only."""
        return await self._components.voters.remove(peer_id)

    async def serve(self, channel: Channel, greeting: PeerGreeting) -> None:
        """Serve a peer's stream whose first frame was its greeting.

        Parameters
        ----------
        channel : Channel
            The accepted stream; closed at the end.
        greeting : PeerGreeting
            The first frame.
        """
        await self._components.request_handler.serve(channel, greeting)

    async def run(self) -> None:
        """Run the tasks until cancelled; `running_log` does this."""
        await self._components.run()

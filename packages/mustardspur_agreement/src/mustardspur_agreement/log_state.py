"""Status of the local replica."""

from mustardspur_core.settings import Peer

from mustardspur_agreement.assurance import (
    holds_acks,
    is_assured,
    remembering_ids,
)
from mustardspur_agreement.replica import Replica
from mustardspur_agreement.voting import has_leader_contact


class LogState:
    """Read-only view of the local replica.

    Parameters
    ----------
    replica : Replica
        State of the local replica.
    """

    __slots__ = ('_replica',)

    def __init__(self, replica: Replica) -> None:
        """Initialise the view of a replica."""
        self._replica = replica

    @property
    def is_leader(self) -> bool:
        """Whether this instance leads the current term."""
        return self._replica.leadership is not None

    @property
    def leader(self) -> str | None:
        """Identifier of the current leader, if known."""
        return self._replica.leader

    @property
    def term(self) -> int:
        """Current term."""
        return self._replica.ballot.term

    @property
    def commit_index(self) -> int:
        """Highest committed index that this instance knows of."""
        return self._replica.commit_index

    @property
    def applied_index(self) -> int:
        """Highest index that is applied locally."""
        return self._replica.applied_index

    @property
    def is_trusted(self) -> bool:
        """Whether the vote of this instance counts.

        False with new or damaged files until the replica is refilled.
        """
        return self._replica.ballot.trusted

    @property
    def voters(self) -> list[str]:
        """Identifiers of the voters, sorted."""
        return sorted(self._replica.membership.voters_by_id)

    @property
    def voter_peers(self) -> dict[str, Peer]:
        """Voters with their addresses, by identifier."""
        return dict(self._replica.membership.voters_by_id)

    @property
    def remembering_ids(self) -> set[str]:
        """Instances that this one, as leader, knows to remember."""
        return remembering_ids(self._replica)

    @property
    def is_assured(self) -> bool:
        """Whether committed entries survive the loss of any one disk.

        False while the first voters of a mesh have not all been heard, and no
        other instances have taken their place.
        """
        return is_assured(self._replica)

    @property
    def holds_acks(self) -> bool:
        """Whether this instance, as leader, has held acknowledgements back.

        It ends once the voters that remember bear the loss of a disk.
        """
        return holds_acks(self._replica)

    @property
    def is_current(self) -> bool:
        """Whether this instance leads or is in direct contact with a leader.

        Explanation
        ===========

        Contact means that a leader sent a request within the minimum election
        timeout. Entries of an upstream do not count, so the property is False
        on an instance that only follows an upstream. It does not say that all
        committed entries are applied; `ReplicatedLog.read_barrier` waits for
        them.
        """
        return has_leader_contact(self._replica)

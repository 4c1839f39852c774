"""Whether committed entries survive the loss of any one more disk."""

import asyncio
from typing import Any, Final

from expression import Error, Ok, Result

from mustardspur_agreement.leadership import Leadership
from mustardspur_agreement.log_rules import (
    is_changing_voters,
    survives_disk_loss,
)
from mustardspur_agreement.ports import Committed, ProposalError
from mustardspur_agreement.replica import Replica, committed_voters

# Operators expect an acknowledgement within 4 s, and resend what has no answer
# after about a second.
HOLD_LIMIT_S: Final = 2.5


class Assurance:
    """Holds acknowledgements back until the first voters remember.

    Explanation
    ===========

    A first voter of a mesh that is stopped before it has written the first
    voters remembers nothing and does not count. Together with one lost disk
    it leaves no quorum for good. An order is therefore acknowledged only once
    the voters that remember are a quorum without any one of them, or after
    `HOLD_LIMIT_S`, so that a mesh with one lost instance accepts orders.

    It applies to the formation only: once enough voters are recorded with
    their data centres, each of them has remembered, and one that is lost
    later is the loss that the quorum is there for.

    Parameters
    ----------
    replica : Replica
        State of the local replica.
    """

    __slots__ = ('_replica',)

    def __init__(self, replica: Replica) -> None:
        """Initialise without a wait."""
        self._replica = replica

    async def wait(self, committed: Committed) -> Result[bool, ProposalError]:
        """Wait until an entry of this leader may be acknowledged.

        Returns
        -------
        Result
            Whether the entry survives the loss of any one disk; an error of
            kind ``unknown`` if this instance has ceased to lead the term.
        """
        replica = self._replica
        leadership = replica.leadership
        is_leading = leadership and leadership.term == committed.term
        if leadership and is_leading and not is_assured(replica):
            await self._hold(leadership)
            is_leading = replica.leadership is leadership
        if is_leading or is_assured(replica):
            return Ok(is_assured(replica))
        return Error(replica.error('unknown', 'leadership was lost'))

    async def _hold(self, leadership: Leadership) -> None:
        is_first = leadership.held_since_s is None
        if is_first:
            leadership.held_since_s = _now()
            self._report('acks_held', leadership)
        held_s = _now() - (leadership.held_since_s or 0)
        if held_s < HOLD_LIMIT_S:
            await self._replica.changed.wait_until(
                lambda: (
                    self._replica.leadership is not leadership
                    or is_assured(self._replica)
                ),
                HOLD_LIMIT_S - held_s,
            )
        if is_first:
            self._report_end(leadership)

    def _report_end(self, leadership: Leadership) -> None:
        held_ms = round((_now() - (leadership.held_since_s or 0)) * 1000)
        if self._replica.leadership is not leadership:
            return
        if is_assured(self._replica):
            self._report('acks_assured', leadership, held_ms=held_ms)
        else:
            self._report('acks_not_assured', leadership, held_ms=held_ms)

    def _report(
        self, event: str, leadership: Leadership, **details: Any
    ) -> None:
        voters = self._replica.membership.voters_by_id.keys()
        missing = voters - remembering_ids(self._replica)
        self._replica.context.report(
            event,
            term=leadership.term,
            voters=sorted(voters),
            not_heard=sorted(missing - leadership.heard_ids()),
            not_remembering=sorted(missing & leadership.heard_ids()),
            **details,
        )


def remembering_ids(replica: Replica) -> set[str]:
    """Return the voters that this instance, as leader, knows to remember."""
    leadership = replica.leadership
    if leadership is None:
        return set()
    return {*leadership.match_by_id(), replica.own_id}


def is_assured(replica: Replica) -> bool:
    """Whether committed entries survive the loss of any one disk.

    It holds as well once it has held, whatever is lost later. Until a change
    of voters is committed, the next leader may have the voters before it.
    """
    memberships = [replica.membership]
    if is_changing_voters(replica.entries, replica.commit_index):
        memberships.append(committed_voters(replica))
    remembering = remembering_ids(replica)
    return all(
        survives_disk_loss(membership, membership.recorded_ids())
        or survives_disk_loss(membership, remembering)
        for membership in memberships
    )


def holds_acks(replica: Replica) -> bool:
    """Whether this instance, as leader, holds acknowledgements back."""
    leadership = replica.leadership
    if leadership is None or leadership.held_since_s is None:
        return False
    return not is_assured(replica)


def _now() -> float:
    return asyncio.get_running_loop().time()

"""Which elections an instance may start."""

from mustardspur_core.record import Record

from mustardspur_agreement.replica import Replica
from mustardspur_agreement.voting_rules import (
    may_campaign,
    may_campaign_unanimously,
)


class Election(Record):
    """Kind of an election.

    Parameters
    ----------
    handover : bool
        Whether the current leader transfers its leadership.
    unanimous : bool
        Whether the votes of all voters are needed, and not of a quorum only;
        instances that are not trusted then vote too.
    """

    __slots__ = ('handover', 'unanimous')
    handover: bool
    unanimous: bool


def possible_elections(replica: Replica, *, handover: bool) -> list[Election]:
    """Return the elections in which this instance may be the candidate."""
    elections = []
    if may_campaign(replica.ballot, is_voter=replica.is_voter):
        elections.append(Election(handover=handover, unanimous=False))
    may_be_unanimous = not handover and may_campaign_unanimously(
        replica.ballot,
        replica.entries,
        replica.membership,
        replica.own_id,
    )
    if may_be_unanimous:
        elections.append(Election(handover=False, unanimous=True))
    return elections

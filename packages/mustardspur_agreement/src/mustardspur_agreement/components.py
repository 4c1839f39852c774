"""Components of the replicated log and their tasks."""

import asyncio

from mustardspur_agreement.applying import Applier
from mustardspur_agreement.assurance import Assurance
from mustardspur_agreement.ballot_rules import ballot_at_start
from mustardspur_agreement.barriers import Barriers
from mustardspur_agreement.context import Context
from mustardspur_agreement.election import Elections
from mustardspur_agreement.following import Following
from mustardspur_agreement.journal import Journal
from mustardspur_agreement.leader_checks import LeaderChecks
from mustardspur_agreement.peers import Peers
from mustardspur_agreement.proposals import Proposals
from mustardspur_agreement.refill import refill
from mustardspur_agreement.replica import Replica
from mustardspur_agreement.serving import RequestHandler
from mustardspur_agreement.storage import Loaded, LogStorage
from mustardspur_agreement.voters import VoterChanges


class Components:
    """Builds the components of one replica and runs their tasks.

    Parameters
    ----------
    context : Context
        Settings, state machine, time line, metrics and environment.
    """

    __slots__ = (
        '_applier',
        '_elections',
        '_following',
        '_leader_checks',
        '_peers',
        'assurance',
        'barriers',
        'proposals',
        'replica',
        'request_handler',
        'voters',
    )

    def __init__(self, context: Context) -> None:
        """Load the files and apply the entries known to be committed."""
        replica = _load(context)
        self.replica = replica
        self._peers = Peers(replica)
        self._following = Following(replica)
        self._elections = Elections(replica, self._peers.link_to)
        self._leader_checks = LeaderChecks(replica, self._peers.link_to)
        self.barriers = Barriers(
            replica,
            self._peers.link_to,
            lambda: self._following.upstream,
        )
        self.proposals = Proposals(replica, self._elections.pause)
        self.assurance = Assurance(replica)
        self.voters = VoterChanges(replica, self.proposals)
        self.request_handler = RequestHandler(
            replica, self._elections, self.barriers
        )
        self._applier = Applier(replica)
        self._applier.apply_through(replica.commit_index)

    async def run(self) -> None:
        """Run the tasks until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._peers.run(group))
            group.create_task(self._applier.run())
            group.create_task(self.proposals.run())
            group.create_task(self._elections.run())
            group.create_task(self._leader_checks.run())
            group.create_task(self._following.run())
            group.create_task(refill(self.replica, self.barriers))


def _trust_first_start(context: Context, loaded: Loaded) -> None:
    was_trusted = loaded.ballot.trusted
    loaded.ballot = ballot_at_start(
        loaded.ballot,
        is_fresh=loaded.fresh,
        remembers_first_start=context.environment.remembers_first_start,
    )
    if loaded.ballot.trusted and not was_trusted:
        context.report('vote_counts', term=loaded.ballot.term)


def _load(context: Context) -> Replica:
    storage = LogStorage(context.environment.disk)
    loaded = storage.load()
    _trust_first_start(context, loaded)
    if loaded.torn:
        context.report('torn_tail_cut')
    if loaded.damage:
        context.report('log_damaged', reason=loaded.damage)
    journal = Journal(context, storage, loaded)
    return Replica(context, journal, loaded.commit_index)

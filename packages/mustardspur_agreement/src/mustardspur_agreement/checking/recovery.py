"""Whether a leader can be elected once all instances are back."""

from itertools import product

from mustardspur_agreement.checking.caching import step
from mustardspur_agreement.checking.elections import (
    adopted,
    campaigning,
    counted,
    request_of,
    voted,
)
from mustardspur_agreement.checking.model import (
    LEADER,
    NAMES,
    Instance,
    Log,
    Match,
    Setup,
    State,
)
from mustardspur_agreement.checking.records import voters_of
from mustardspur_agreement.checking.replication import acknowledged, appended
from mustardspur_agreement.checking.starts import restarted

Instances = tuple[Instance, ...]


def can_recover(state: State, setup: Setup) -> bool:
    """Whether a leader with every committed entry can be elected.

    All instances restart and reach each other. The property is required while
    a minority of the first voters has lost its disk or forgotten its first
    start, and only before a change of voters: a new set of voters may have no
    quorum that has been filled.
    """
    lost = setup.budget.losses - state.budget.losses
    lost += setup.budget.forgotten - state.budget.forgotten
    is_changed = state.budget.changes < setup.budget.changes
    if is_changed or 2 * lost >= setup.seeds:
        return True
    instances = tuple(
        restarted(one, keeps_mark=True) for one in state.instances
    )
    log = committed_log(instances)
    required = tuple(entry.item for entry in state.committed)
    return log is not None and log[: len(required)] == required


def keeps_acked(state: State, setup: Setup) -> bool:
    """Whether what was acknowledged can be read after one lost disk.

    All instances restart and reach each other, those too that have forgotten
    their first start. With changes of voters the property is required only
    where too few voters are never left.
    """
    lost = setup.budget.losses - state.budget.losses
    may_shrink = setup.budget.changes and setup.min_voters < setup.seeds
    if may_shrink or not state.acked or lost > 1:
        return True
    instances = tuple(
        restarted(one, keeps_mark=True) for one in state.instances
    )
    log = committed_log(instances)
    required = tuple(entry.item for entry in state.committed[: state.acked])
    return log is not None and log[: len(required)] == required


@step
def committed_log(instances: Instances) -> Log | None:
    """Return the log of a leader that a quorum elects and follows."""
    ranked = sorted(instances, key=_rank, reverse=True)
    for is_unanimous, candidate in product((False, True), ranked):
        elected = _after_election(instances, candidate, is_unanimous)
        leader = elected[NAMES.index(candidate.name)]
        if leader.role == LEADER:
            leader = _after_replication(elected, leader)
            if leader.commit == len(leader.log):
                return leader.log
    return None


def _rank(one: Instance) -> tuple[int, int]:
    return one.log[-1].term if one.log else 0, len(one.log)


def _after_election(
    instances: Instances,
    candidate: Instance,
    is_unanimous: bool,
) -> Instances:
    term = max(one.term for one in instances)
    started = campaigning(adopted(candidate, term), is_unanimous)
    if started is None:
        return instances
    request = request_of(started)
    voters = voters_of(started)
    after = []
    for one in instances:
        granted = None
        if one.name in voters and one.name != candidate.name:
            granted = voted(one, request)
        if granted and started.role != LEADER:
            started = counted(started, one.name)
        after.append(granted or one)
    after[NAMES.index(candidate.name)] = started
    return tuple(after)


def _after_replication(instances: Instances, leader: Instance) -> Instance:
    request = request_of(leader)
    for peer in instances:
        if peer.name != leader.name:
            after = appended(peer, request, leader.first_index)
            if after.last is not None:
                answer = Match(peer.name, after.last, after.peer.trusted)
                leader = acknowledged(leader, answer)
    return leader

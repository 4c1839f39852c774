"""Steps of barriers and refills, decided by the rules of the product."""

from mustardspur_agreement import ballot_rules, log_rules
from mustardspur_agreement.checking.caching import step
from mustardspur_agreement.checking.model import Instance, Round
from mustardspur_agreement.checking.records import (
    as_trusted,
    ballot_of,
    membership_of,
    with_ballot,
)
from mustardspur_agreement.messages import BarrierAnswer


@step
def asked(leader: Instance, requester: str, required: int) -> Instance:
    """Return a leader that starts to confirm a barrier."""
    barrier = Round(
        requester=requester,
        commit=leader.commit,
        last=len(leader.log),
        required=required,
        acked=(),
    )
    return leader._replace(barrier=barrier)


@step
def is_confirmed(leader: Instance) -> bool:
    """Whether a quorum has confirmed the barrier of a leader."""
    if leader.barrier is None:
        return False
    acked = [*leader.barrier.acked, leader.name]
    return membership_of(leader.log, leader.first).is_quorum(acked)


@step
def refilled(instance: Instance) -> Instance | None:
    """Return an instance that is trusted again, None if it is not refilled."""
    if instance.answer is None or instance.trusted:
        return None
    term, last = instance.answer
    answer = BarrierAnswer(
        confirmed=True, term=term, index=last, last_index=last
    )
    voters = membership_of(instance.log[: instance.commit], instance.first)
    if log_rules.is_refilled(instance.commit, answer, voters):
        ballot = ballot_rules.after_refill(ballot_of(instance), answer)
        return as_trusted(with_ballot(instance, ballot))
    return None

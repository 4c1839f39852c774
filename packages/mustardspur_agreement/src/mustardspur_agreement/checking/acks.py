"""Acknowledgements of a leader, decided by the rules of the product."""

from mustardspur_agreement import log_rules
from mustardspur_agreement.checking.model import Instance, State
from mustardspur_agreement.checking.records import entries_of, membership_of


def with_acked(state: State, leader: Instance) -> State:
    """Record what a leader may acknowledge.

    All of its committed entries count as acknowledged, at once. Every leader
    knows whether the voters have formed, while in the product it needs their
    records; so more is acknowledged here.
    """
    if leader.commit < leader.first_index:
        return state
    if not state.has_formed and not is_assured(leader):
        return state
    acked = max(state.acked, leader.commit)
    return state._replace(acked=acked, has_formed=True)


def is_assured(leader: Instance) -> bool:
    """Whether the loss of any one disk leaves a quorum that remembers."""
    trusted = [match.peer for match in leader.matches if match.trusted]
    logs = [leader.log]
    if log_rules.is_changing_voters(entries_of(leader.log), leader.commit):
        logs.append(leader.log[: leader.commit])
    return all(
        log_rules.survives_disk_loss(
            membership_of(log, leader.first), [*trusted, leader.name]
        )
        for log in logs
    )

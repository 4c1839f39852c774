"""Steps of replication at one instance, decided by the rules of the product."""

from typing import NamedTuple

from mustardspur_agreement import ballot_rules, log_rules, voting_rules
from mustardspur_agreement.checking.caching import step
from mustardspur_agreement.checking.model import (
    Instance,
    Item,
    Late,
    Log,
    Match,
)
from mustardspur_agreement.checking.records import (
    append_request,
    as_trusted,
    ballot_of,
    entries_of,
    membership_of,
    with_ballot,
)
from mustardspur_agreement.entries import Entry
from mustardspur_agreement.messages import AppendRequest


class Appended(NamedTuple):
    """A peer after an append, and the index up to which its log matches.

    The index is None if the peer refuses the leader.
    """

    peer: Instance
    last: int | None


def match_of(leader: Instance, peer: str) -> Match:
    """Return what a leader knows of a peer."""
    for match in leader.matches:
        if match.peer == peer:
            return match
    return Match(peer, leader.first_index - 1, trusted=False)


@step
def proposed(leader: Instance, voters: tuple[str, ...]) -> Instance:
    """Return a leader that has appended an entry."""
    log = (*leader.log, Item(leader.term, voters))
    return _committed(leader._replace(log=log))


@step
def appended(peer: Instance, request: Late, next_index: int) -> Appended:
    """Return a peer after the requests of a leader, from the next index back.

    The leader tries earlier entries until the logs match.
    """
    ballot = ballot_of(peer)
    if not voting_rules.accepts_leader(ballot, request.term):
        return Appended(peer, None)
    peer = with_ballot(peer, ballot_rules.after_term(ballot, request.term))
    append = _matching_append(peer, request, next_index)
    entries = entries_of(request.log)
    batch = entries.between(append.prev_index + 1, entries.last_index)
    if _has_conflict(peer, append, batch):
        return Appended(peer, None)
    last = log_rules.matched_index(append, batch)
    log = _log_after(peer, request.log, batch)
    return Appended(_matched(peer._replace(log=log), request, last), last)


@step
def acknowledged(leader: Instance, answer: Match) -> Instance:
    """Return a leader that has the answer of a peer to an append."""
    others = [match for match in leader.matches if match.peer != answer.peer]
    leader = leader._replace(matches=tuple(sorted([*others, answer])))
    barrier = leader.barrier
    if barrier and answer.trusted:
        acked = tuple(sorted({*barrier.acked, answer.peer}))
        leader = leader._replace(barrier=barrier._replace(acked=acked))
    return _committed(leader)


def _matching_append(
    peer: Instance, request: Late, next_index: int
) -> AppendRequest:
    prev_index = next_index - 1
    while True:
        append = append_request(request, prev_index)
        entries = entries_of(peer.log)
        if log_rules.matches_log(entries, peer.commit, append):
            return append
        prev_index = log_rules.last_possible_match(entries, peer.commit, append)


def _has_conflict(
    peer: Instance,
    append: AppendRequest,
    batch: list[Entry],
) -> bool:
    sent = [(append.prev_index, append.prev_term)]
    sent.extend((entry.index, entry.term) for entry in batch)
    return any(
        log_rules.conflicts_with_committed(
            entries_of(peer.log), peer.commit, index, term
        )
        for index, term in sent
    )


def _log_after(peer: Instance, sent: Log, batch: list[Entry]) -> Log:
    missing = log_rules.new_entries(entries_of(peer.log), peer.commit, batch)
    if not missing:
        return peer.log
    matching = missing[0].index - 1
    return peer.log[:matching] + sent[matching:]


def _matched(peer: Instance, request: Late, last: int) -> Instance:
    peer = peer._replace(commit=max(peer.commit, min(request.commit, last)))
    becomes_trusted = voting_rules.is_trusted_by_election(
        ballot_of(peer),
        peer.unanimous_term,
        request.sender,
        request.term,
        entries_of(peer.log).term_at(last),
    )
    if becomes_trusted:
        ballot = ballot_rules.after_election(ballot_of(peer))
        return as_trusted(with_ballot(peer, ballot))
    return peer


def _committed(leader: Instance) -> Instance:
    match_by_id = {
        match.peer: match.last for match in leader.matches if match.trusted
    }
    match_by_id[leader.name] = len(leader.log)
    index = log_rules.committed_index(
        membership_of(leader.log, leader.first),
        entries_of(leader.log),
        match_by_id,
        leader.term,
    )
    return leader._replace(commit=max(leader.commit, index))

"""The model check finds broken rules and merges equal states."""

import random
from collections.abc import Callable, Iterable
from types import MappingProxyType
from typing import Any

import pytest
from mustardspur_agreement import ballot_rules, log_rules, voting_rules
from mustardspur_agreement.ballot import Ballot
from mustardspur_agreement.checking import (
    Budget,
    Search,
    Setup,
    effects,
    properties,
)
from mustardspur_agreement.checking.caching import clear_steps
from mustardspur_agreement.checking.model import State
from mustardspur_agreement.checking.moves import first_state, moves
from mustardspur_agreement.checking.setups import SETUPS_BY_NAME
from mustardspur_agreement.checking.symmetry import key_of
from mustardspur_agreement.entry_list import EntryList
from mustardspur_core.record import replaced

SWAPPED = str.maketrans('abc', 'bca')


DEPTHS_IN_CI = MappingProxyType(
    {
        'elections': 5,
        'lost-disk': 10,
        'lost-disk-three-terms': 6,
        'lost-disk-voters-in-settings': 8,
        'lost-disk-and-stops': 5,
        'lost-disk-and-entries': 7,
        'two-lost-disks': 8,
        'changes-of-voters': 7,
        'lost-disk-and-change': 5,
        'forgotten-start': 8,
        'forgotten-start-and-changes': 6,
        'four-voters': 7,
    }
)
# A leader of term 3 with an entry of term 1, while one of term 2 has another.
ENTRY_OF_AN_EARLIER_TERM = (
    'a starts term 1',
    'c votes for a, leader of term 1',
    'b starts term 1',
    'b starts term 2',
    'c votes for b, leader of term 2',
    'a starts term 2',
    'a starts term 3',
    'c votes for a, leader of term 3',
)

# The only two instances that remember hold less than one that is refilled and
# knows no voters.
REFILLED_WITHOUT_VOTERS = (
    'a forgets its first start',
    'b starts term 1',
    'c votes for b, leader of term 1',
    'b replicates 1 to c',
    'b replicates 1 to a',
    'a asks b to be refilled',
    'b appends an entry to refill peers',
    'b replicates 2 to c',
    'b replicates 2 to a',
)
# `d` has joined as the fourth voter, and `a` remembers nothing.
BEFORE_A_REMOVAL = (
    'a forgets its first start',
    'b starts term 1',
    'c votes for b, leader of term 1',
    'b replicates 1 to c',
    'b replicates 1 to d',
    'b changes the voters to abcd',
    'b replicates 2 to c',
    'b replicates 2 to d',
)

# `d` forgets its vote for b, and votes for e in the term in which a leads.
FORGOTTEN_VOTE = (
    'a starts term 1 for all votes',
    'b votes for a',
    'c votes for a',
    'd votes for a',
    'e votes for a, leader of term 1',
    'a replicates 1 to b',
    'a replicates 1 to c',
    'a replicates 1 to d',
    'a replicates 1 to e',
    'a starts term 2',
    'b votes for a',
    'c votes for a, leader of term 2',
    'b starts term 3',
    'd votes for b',
    'd loses its disk',
    'e starts term 2 for all votes',
    'd votes for e',
    'a replicates 2 to d',
    'a replicates 2 to e',
    'c votes for b, leader of term 3',
)


@pytest.fixture(autouse=True)
def _without_results_of_other_rules() -> None:
    clear_steps()


def _by_text(state: State, setup: Setup) -> dict[str, State]:
    return {move.text: move.state for move in moves(state, setup)}


def _state_after(setup: Setup, texts: Iterable[str]) -> State:
    state = first_state(setup)
    for text in texts:
        state = _by_text(state, setup)[text]
    return state


@pytest.mark.parametrize('name', SETUPS_BY_NAME)
def test_no_property_is_violated(name: str) -> None:
    """Guards against faults of the rules within a few actions."""
    depth = DEPTHS_IN_CI[name]
    found = Search(SETUPS_BY_NAME[name]).run(depth)
    assert not found.broken, found.trace
    assert found.is_complete or found.depth == depth


@pytest.mark.parametrize('seed', range(20))
def test_renamed_states_are_one(seed: int) -> None:
    """Guards against instances whose names make states differ."""
    setup = Setup(budget=Budget(restarts=2, proposals=1, reads=1, late=1))
    chooser = random.Random(seed)
    one = first_state(setup)
    other = first_state(setup)
    for _ in range(15):
        one_by_text = _by_text(one, setup)
        if not one_by_text:
            return
        text = chooser.choice(sorted(one_by_text))
        other_by_text = _by_text(other, setup)
        one = one_by_text[text]
        other = other_by_text[_renamed(text)]
        assert key_of(one, setup) == key_of(other, setup)


def _renamed(text: str) -> str:
    """Rename the instances in the text of an action."""
    return ' '.join(
        word.translate(SWAPPED) if len(word.rstrip(',')) == 1 else word
        for word in text.split()
    )


def test_different_states_are_kept_apart() -> None:
    """Guards against merging states that differ in more than names."""
    setup = Setup(budget=Budget(restarts=1))
    state = first_state(setup)
    seen: dict[int, str] = {}
    for text in ('a starts term 1', 'b votes for a, answer lost', 'a restarts'):
        state = _by_text(state, setup)[text]
        seen[key_of(state, setup)] = text
    assert len(seen) == 3


def _grants_two_votes(
    ballot: Ballot,
    entries: EntryList,
    request: voting_rules.AnyVoteRequest,
) -> bool:
    own_last = (entries.last_term, entries.last_index)
    is_complete = (request.last_term, request.last_index) >= own_last
    return is_complete and request.term >= ballot.term


def _grants_any_log(
    ballot: Ballot,
    entries: EntryList,
    request: voting_rules.AnyVoteRequest,
) -> bool:
    if request.term == ballot.term:
        return ballot.voted_for in {None, request.candidate}
    return request.term > ballot.term


@pytest.mark.parametrize(
    ('module', 'rule', 'broken', 'budget', 'violated'),
    [
        (
            voting_rules,
            'is_eligible',
            _grants_two_votes,
            Budget(losses=0),
            properties.ONE_LEADER,
        ),
        (
            voting_rules,
            'is_eligible',
            _grants_any_log,
            Budget(losses=0),
            properties.COMPLETE,
        ),
        (
            log_rules,
            'may_change_voters',
            lambda entries, commit, first: commit >= first,
            Budget(losses=0, changes=2),
            properties.COMPLETE,
        ),
        (
            voting_rules,
            'accepts_leader',
            lambda ballot, term: True,
            Budget(losses=0),
            properties.COMPLETE,
        ),
        (
            effects,
            'is_confirmed',
            lambda leader: leader.barrier is not None,
            Budget(losses=0, reads=1),
            properties.CURRENT,
        ),
        (
            voting_rules,
            'is_won',
            lambda membership, granted, unanimous: False,
            Budget(losses=0),
            properties.REACHABLE,
        ),
        (
            log_rules,
            'survives_disk_loss',
            lambda membership, remembering: True,
            Budget(losses=1, forgotten=1),
            properties.REMEMBERED,
        ),
    ],
)
def test_broken_rule_is_found(
    monkeypatch: pytest.MonkeyPatch,
    module: Any,
    rule: str,
    broken: Callable[..., Any],
    budget: Budget,
    violated: str,
) -> None:
    """Guards against a search that misses a removed guard."""
    monkeypatch.setattr(module, rule, broken)
    found = Search(Setup(budget=budget), frozenset((violated,))).run(12)
    assert found.broken == violated


def _commits_any_term(
    membership: Any,
    entries: EntryList,
    match_by_id: dict[str, int],
    term: int,
) -> int:
    index: int = membership.quorum_index(match_by_id)
    return index


def test_commit_of_an_earlier_term_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against entries of earlier terms that are committed by count."""
    setup = Setup(budget=Budget(losses=0, parts=1, terms=4))
    start = _state_after(setup, ENTRY_OF_AN_EARLIER_TERM)
    assert not Search(setup, start=start).run(5).broken
    monkeypatch.setattr(log_rules, 'committed_index', _commits_any_term)
    found = Search(setup, start=start).run(5)
    assert found.broken == properties.COMPLETE
    assert len(found.trace) == 4


def _votes_without_files(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let instances without files vote for candidates without files."""
    is_eligible = voting_rules.is_eligible
    after_vote = ballot_rules.after_vote
    after_start_of_term = ballot_rules.after_start_of_term
    monkeypatch.setattr(
        voting_rules,
        'may_vote',
        lambda ballot: ballot.trusted or ballot.term == 0,
    )
    monkeypatch.setattr(
        voting_rules,
        'is_eligible',
        lambda ballot, entries, request: (
            (ballot.trusted or request.last_index == 0)
            and is_eligible(ballot, entries, request)
        ),
    )
    monkeypatch.setattr(
        voting_rules, 'may_campaign_unanimously', lambda *_: False
    )
    monkeypatch.setattr(
        ballot_rules,
        'after_vote',
        lambda *args: replaced(after_vote(*args), trusted=True),
    )
    monkeypatch.setattr(
        ballot_rules,
        'after_start_of_term',
        lambda *args: replaced(after_start_of_term(*args), trusted=True),
    )
    monkeypatch.setattr(
        ballot_rules, 'ballot_at_start', lambda ballot, **_: ballot
    )


@pytest.mark.parametrize(
    ('violated', 'actions'),
    [
        (properties.REACHABLE, 3),
        (properties.ONE_LEADER, 5),
        (properties.COMPLETE, 7),
        (properties.CURRENT, 9),
    ],
)
def test_vote_without_files_is_found(
    monkeypatch: pytest.MonkeyPatch,
    violated: str,
    actions: int,
) -> None:
    """Guards against two instances without files that elect a leader."""
    _votes_without_files(monkeypatch)
    setup = Setup(budget=Budget(losses=1, reads=1))
    found = Search(setup, frozenset((violated,))).run(9)
    assert found.broken == violated
    assert len(found.trace) == actions


def test_empty_leader_after_a_commit_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a leader without files while others hold entries."""
    _votes_without_files(monkeypatch)
    setup = Setup(budget=Budget(losses=1))
    committed = (
        'a starts term 1',
        'b votes for a, leader of term 1',
        'a replicates 1 to b',
    )
    start = _state_after(setup, committed)
    violated = frozenset((properties.COMPLETE,))
    found = Search(setup, violated, start).run(5)
    assert found.broken == properties.COMPLETE
    assert set(found.trace) == {
        'a loses its disk',
        'c starts term 1',
        'c starts term 2',
        'a votes for c, leader of term 2',
    }


def test_forgotten_vote_does_not_count_again() -> None:
    """Guards against a voter that trusts another leader than it elected."""
    setup = Setup(
        instances=5,
        seeds=5,
        budget=Budget(losses=1, terms=3),
        lists_voters_again=True,
    )
    assert not _state_after(setup, FORGOTTEN_VOTE).broken


def test_refill_without_voters_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an instance that is trusted before it knows the voters,
    and is the only one left with all entries.
    """
    setup = SETUPS_BY_NAME['forgotten-start']
    start = _state_after(setup, REFILLED_WITHOUT_VOTERS)
    assert not Search(setup, start=start).run(4).broken
    clear_steps()
    monkeypatch.setattr(
        log_rules,
        'is_refilled',
        lambda commit_index, answer, voters: commit_index > answer.last_index,
    )
    found = Search(setup, start=start).run(4)
    assert found.broken == properties.REMEMBERED


def test_ack_beside_a_pending_removal_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against acknowledgements that rely on a change of voters which
    only the leader knows of.
    """
    setup = SETUPS_BY_NAME['forgotten-start-and-changes']
    start = _state_after(setup, BEFORE_A_REMOVAL)
    assert not Search(setup, start=start).run(4).broken
    clear_steps()
    monkeypatch.setattr(
        log_rules, 'is_changing_voters', lambda entries, commit_index: False
    )
    found = Search(setup, start=start).run(4)
    assert found.broken == properties.REMEMBERED
    assert 'b changes the voters to bcd' in found.trace

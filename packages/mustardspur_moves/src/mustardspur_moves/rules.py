"""Rules of the decision on a move; the first that applies decides."""

from collections.abc import Callable
from typing import Final

from mustardspur_core.state import MoveState

from mustardspur_moves.answers import finish, raise_share, take_back, wait
from mustardspur_moves.facts import CALLS_AT_SHARE, Facts
from mustardspur_moves.outcome import Decision
from mustardspur_moves.schedule import FULL_SHARE, Stage

_Rule = Callable[[Facts], Decision | None]
_rules: list[_Rule] = []
_ENDED: Final = frozenset((MoveState.DONE, MoveState.TAKEN_BACK))


def rule(function: _Rule) -> _Rule:
    """Register a rule after those before it."""
    _rules.append(function)
    return function


def first_decision(facts: Facts) -> Decision:
    """Return the decision of the first rule that applies."""
    decisions = (apply_rule(facts) for apply_rule in _rules)
    return next(
        (decision for decision in decisions if decision),
        wait(facts, 'the next step is not due'),
    )


@rule
def _on_ended_move(facts: Facts) -> Decision | None:
    if facts.move.state in _ENDED:
        return wait(facts, 'the move has ended')
    return None


@rule
def _on_bad_version(facts: Facts) -> Decision | None:
    verdict = facts.verdict
    if not verdict.bad:
        return None
    return take_back(
        facts,
        f'the new version has more {verdict.kind} than the old one '
        f'({verdict.scope})',
    )


@rule
def _on_last_step(facts: Facts) -> Decision | None:
    if facts.move.share < FULL_SHARE:
        return None
    if facts.move.state == MoveState.PAUSED and not _is_time(facts):
        return wait(facts, 'the move is paused')
    return finish(facts, 'the last step is reached')


@rule
def _on_stated_time(facts: Facts) -> Decision | None:
    """End the move when no further stage can come into force in time."""
    if not _is_time(facts):
        return None
    if facts.move.state == MoveState.PAUSED:
        return take_back(facts, 'the move is paused at the stated time')
    if facts.targets_are_missing:
        return take_back(facts, 'targets of the new version get no calls')
    if facts.is_judged:
        return raise_share(facts, FULL_SHARE, 'the evidence is enough in time')
    return _on_unjudged(facts)


@rule
def _on_pause(facts: Facts) -> Decision | None:
    if facts.move.state == MoveState.PAUSED:
        return wait(facts, 'the move is paused')
    return None


@rule
def _on_missing_targets(facts: Facts) -> Decision | None:
    if not facts.targets_are_missing:
        return None
    if facts.new_calls:
        return take_back(facts, 'targets of the new version disappeared')
    return wait(facts, 'no target of the new version gets calls yet')


@rule
def _on_next_stage(facts: Facts) -> Decision | None:
    stage = facts.schedule.after(facts.move.share)
    if stage is None or facts.now_s < stage.due_s:
        return None
    missing = _missing_evidence(facts, stage)
    if missing:
        return wait(facts, missing)
    if stage.needed_calls == 0:
        return raise_share(facts, stage.share, 'the first share')
    return raise_share(facts, stage.share, 'no sign of a fault at this share')


def _on_unjudged(facts: Facts) -> Decision:
    reason = 'not enough evidence at the stated time'
    if facts.policy.unjudged == 'finish':
        return raise_share(facts, FULL_SHARE, f'{reason}; the profile finishes')
    return take_back(facts, f'{reason}; the profile takes back')


def _is_time(facts: Facts) -> bool:
    return facts.now_s >= facts.schedule.last_raise_s


def _missing_evidence(facts: Facts, stage: Stage) -> str:
    """Return why the evidence does not support a raise, empty if it does."""
    if facts.is_suspicious:
        verdict = facts.verdict
        return f'suspicious {verdict.kind} ({verdict.scope})'
    if stage.needed_calls == 0:
        return ''
    if facts.new_calls < stage.needed_calls:
        return 'too few calls of the new version'
    if facts.calls_at_share < CALLS_AT_SHARE:
        return 'too few calls at this share'
    return 'the reports are stale' if facts.reports_are_stale else ''

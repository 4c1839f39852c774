"""Rules for the decision on a move; the first one that applies decides."""

from collections.abc import Callable
from typing import Final

from mustardspur_core.state import MoveState

from mustardspur_moves.decision_builders import (
    finish,
    raise_share,
    take_back,
    wait,
)
from mustardspur_moves.decision_inputs import MIN_CALLS_AT_SHARE, DecisionInputs
from mustardspur_moves.outcome import Decision
from mustardspur_moves.schedule import FULL_SHARE, Stage

_Rule = Callable[[DecisionInputs], Decision | None]
_rules: list[_Rule] = []
_ENDED: Final = frozenset((MoveState.DONE, MoveState.TAKEN_BACK))


def rule(function: _Rule) -> _Rule:
    """Register a rule; rules are evaluated in order of registration."""
    _rules.append(function)
    return function


def first_decision(inputs: DecisionInputs) -> Decision:
    """Return the decision of the first rule that applies, else ``wait``."""
    decisions = (apply_rule(inputs) for apply_rule in _rules)
    return next(
        (decision for decision in decisions if decision),
        wait(inputs, 'the next step is not due'),
    )


@rule
def _on_ended_move(inputs: DecisionInputs) -> Decision | None:
    if inputs.move.state in _ENDED:
        return wait(inputs, 'the move has ended')
    return None


@rule
def _on_bad_version(inputs: DecisionInputs) -> Decision | None:
    verdict = inputs.verdict
    if not verdict.bad:
        return None
    return take_back(
        inputs,
        f'the new version has more {verdict.kind} than the old one '
        f'({verdict.scope})',
    )


@rule
def _on_last_step(inputs: DecisionInputs) -> Decision | None:
    if inputs.move.share < FULL_SHARE:
        return None
    if inputs.move.state == MoveState.PAUSED and not _last_raise_is_due(inputs):
        return wait(inputs, 'the move is paused')
    return finish(inputs, 'the last step is reached')


@rule
def _on_deadline(inputs: DecisionInputs) -> Decision | None:
    """End the move at the last time at which a raise can still take effect."""
    if not _last_raise_is_due(inputs):
        return None
    if inputs.move.state == MoveState.PAUSED:
        return take_back(inputs, 'the move is paused at the stated time')
    if inputs.targets_are_missing:
        return take_back(inputs, 'targets of the new version get no calls')
    if inputs.has_enough_evidence:
        return raise_share(inputs, FULL_SHARE, 'the evidence is enough in time')
    return _decide_without_evidence(inputs)


@rule
def _on_pause(inputs: DecisionInputs) -> Decision | None:
    if inputs.move.state == MoveState.PAUSED:
        return wait(inputs, 'the move is paused')
    return None


@rule
def _on_missing_targets(inputs: DecisionInputs) -> Decision | None:
    if not inputs.targets_are_missing:
        return None
    if inputs.new_calls:
        return take_back(inputs, 'targets of the new version disappeared')
    return wait(inputs, 'no target of the new version gets calls yet')


@rule
def _on_next_stage(inputs: DecisionInputs) -> Decision | None:
    stage = inputs.schedule.after(inputs.move.share)
    if stage is None or inputs.now_s < stage.due_s:
        return None
    missing = _missing_evidence(inputs, stage)
    if missing:
        return wait(inputs, missing)
    if stage.needed_calls == 0:
        return raise_share(inputs, stage.share, 'the first share')
    return raise_share(inputs, stage.share, 'no sign of a fault at this share')


def _decide_without_evidence(inputs: DecisionInputs) -> Decision:
    reason = 'not enough evidence at the stated time'
    if inputs.policy.unjudged == 'finish':
        return raise_share(
            inputs, FULL_SHARE, f'{reason}; the profile finishes'
        )
    return take_back(inputs, f'{reason}; the profile takes back')


def _last_raise_is_due(inputs: DecisionInputs) -> bool:
    return inputs.now_s >= inputs.schedule.last_raise_s


def _missing_evidence(inputs: DecisionInputs, stage: Stage) -> str:
    """Return what the evidence lacks for a raise, empty for nothing."""
    if inputs.is_suspicious:
        verdict = inputs.verdict
        return f'suspicious {verdict.kind} ({verdict.scope})'
    if stage.needed_calls == 0:
        return ''
    if inputs.new_calls < stage.needed_calls:
        return 'too few calls of the new version'
    if inputs.calls_at_share < MIN_CALLS_AT_SHARE:
        return 'too few calls at this share'
    return 'the reports are stale' if inputs.reports_are_stale else ''

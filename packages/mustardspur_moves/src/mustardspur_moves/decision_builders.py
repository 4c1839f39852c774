"""Builders of decisions from their inputs."""

from mustardspur_core.state import MoveState

from mustardspur_moves.decision_inputs import DecisionInputs
from mustardspur_moves.outcome import Action, Decision
from mustardspur_moves.schedule import FULL_SHARE


def raise_share(inputs: DecisionInputs, share: float, reason: str) -> Decision:
    """Return the decision to raise the share of the new version."""
    return _build(inputs, Action.RAISE, share, reason)


def wait(inputs: DecisionInputs, reason: str) -> Decision:
    """Return the decision to leave the move unchanged."""
    return _build(inputs, Action.WAIT, inputs.move.share, reason)


def finish(inputs: DecisionInputs, reason: str) -> Decision:
    """Return the decision to end the move with the new version."""
    return _build(inputs, Action.FINISH, FULL_SHARE, reason)


def take_back(inputs: DecisionInputs, reason: str) -> Decision:
    """Return the decision to end the move with the old version."""
    return _build(inputs, Action.TAKE_BACK, 0, reason)


def _build(
    inputs: DecisionInputs,
    action: Action,
    share: float,
    reason: str,
) -> Decision:
    state = inputs.move.state
    if action == Action.FINISH:
        state = MoveState.DONE.value
    elif action == Action.TAKE_BACK:
        state = MoveState.TAKEN_BACK.value
    return Decision(
        action=action.value,
        state=state,
        share=share,
        reason=reason,
        figures=inputs.figures(),
    )

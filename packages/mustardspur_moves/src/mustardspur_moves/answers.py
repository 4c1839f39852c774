"""Decisions built from the facts that they rest on."""

from mustardspur_core.state import MoveState

from mustardspur_moves.facts import Facts
from mustardspur_moves.outcome import Action, Decision
from mustardspur_moves.schedule import FULL_SHARE


def raise_share(facts: Facts, share: float, reason: str) -> Decision:
    """Return the decision to raise the share."""
    return _decision(facts, Action.RAISE, share, reason)


def wait(facts: Facts, reason: str) -> Decision:
    """Return the decision to leave the move as it is."""
    return _decision(facts, Action.WAIT, facts.move.share, reason)


def finish(facts: Facts, reason: str) -> Decision:
    """Return the decision to end the move with the new version."""
    return _decision(facts, Action.FINISH, FULL_SHARE, reason)


def take_back(facts: Facts, reason: str) -> Decision:
    """Return the decision to end the move with the old version."""
    return _decision(facts, Action.TAKE_BACK, 0, reason)


def _decision(
    facts: Facts,
    action: Action,
    share: float,
    reason: str,
) -> Decision:
    state = facts.move.state
    if action == Action.FINISH:
        state = MoveState.DONE.value
    elif action == Action.TAKE_BACK:
        state = MoveState.TAKEN_BACK.value
    return Decision(
        action=action.value,
        state=state,
        share=share,
        reason=reason,
        figures=facts.figures(),
    )

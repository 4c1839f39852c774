"""The decision on a move, as a pure function of its evidence."""

from mustardspur_core.profile.model import MovePolicy
from mustardspur_core.state import Move

from mustardspur_moves.evidence import Evidence
from mustardspur_moves.facts import facts_of
from mustardspur_moves.outcome import Decision
from mustardspur_moves.rules import first_decision


def decide(
    move: Move,
    policy: MovePolicy,
    evidence: Evidence,
    now_s: float,
) -> Decision:
    """Decide on a move.

    Explanation
    ===========

    The share rises one stage at a time, not before the stage is due, and
    only with calls of the new version at the current share, recent reports
    and no suspicion. A bad version is taken back in every state of the move
    that is not final, and at any share.

    Parameters
    ----------
    move : Move
        The move as the log has it.
    policy : MovePolicy
        Policy of the profile that the service follows now.
    evidence : Evidence
        Outcomes since the leader collects them.
    now_s : float
        Wall clock in seconds.

    Returns
    -------
    Decision
        ``wait`` for a move that has ended.

    See Also
    --------
    mustardspur_moves.rules : the rules in their order.
    """
    return first_decision(facts_of(move, policy, evidence, now_s))

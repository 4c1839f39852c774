"""Decision on a move as a pure function of its evidence."""

from mustardspur_core.profile.model import MovePolicy
from mustardspur_core.state import Move

from mustardspur_moves.decision_inputs import collect_inputs
from mustardspur_moves.evidence import Evidence
from mustardspur_moves.outcome import Decision
from mustardspur_moves.rules import first_decision


def decide(
    move: Move,
    policy: MovePolicy,
    evidence: Evidence,
    now_s: float,
) -> Decision:
    """Return the next decision on a move.

    Explanation
    ===========

    The share is raised one stage at a time, not before the stage is due, and
    only if the new version got calls at the current share, the reports are
    recent and the evidence ratio is not suspicious. A bad version is taken
    back at any share, in every state of the move that is not final.

    Parameters
    ----------
    move : Move
        The move as committed in the log.
    policy : MovePolicy
        Move policy of the profile that the service follows.
    evidence : Evidence
        Outcomes that the leader has collected so far.
    now_s : float
        Current wall clock time in seconds.

    Returns
    -------
    Decision
        With the action ``wait`` if the move has ended.

    See Also
    --------
    mustardspur_moves.rules : the rules in order of evaluation.
    """
    return first_decision(collect_inputs(move, policy, evidence, now_s))

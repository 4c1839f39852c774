"""Delay after which a caller may retry a call that did not run."""

from typing import Final

from mustardspur_core.units import MS_PER_S

from mustardspur_node.mesh.call_progress import CallProgress

# Delay as a fraction of the objective, while the answer to a retry can still
# be in time.
RETRY_FRACTION: Final = 0.25
# Delay for other calls that found no slot; about the length of a burst.
BUSY_RETRY_AFTER_S: Final = 0.4
# Delay after a target refused the call for another reason than full slots.
REFUSED_RETRY_AFTER_S: Final = 0.05
# Delay while the node has no table or no target. It receives them from a
# control instance; after a restart of all instances this takes about as long
# as an election.
UNKNOWN_RETRY_AFTER_S: Final = 0.5
# Delay for a call that is blocked, since it has crashed several targets. It
# stays blocked for minutes; an earlier retry is refused as well.
BLOCKED_RETRY_AFTER_S: Final = 60.0


def retry_after_s(progress: CallProgress) -> float:
    """Return the delay in seconds after which a retry may find a target.

    Parameters
    ----------
    progress : CallProgress
        State of the call, which did not run.
    """
    if progress.faults and progress.faults[-1].kind == 'blocked':
        return BLOCKED_RETRY_AFTER_S
    if not progress.had_candidates:
        return UNKNOWN_RETRY_AFTER_S
    if progress.faults and progress.faults[-1].kind != 'busy':
        return REFUSED_RETRY_AFTER_S
    objective_ms = progress.call.route.objective_ms
    if RETRY_FRACTION * objective_ms < progress.useful_ms() < objective_ms:
        return RETRY_FRACTION * objective_ms / MS_PER_S
    return BUSY_RETRY_AFTER_S

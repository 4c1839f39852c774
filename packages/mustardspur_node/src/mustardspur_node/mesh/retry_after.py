"""When a caller whose call did not run is asked to come back."""

from typing import Final

from mustardspur_core.units import MS_PER_S

from mustardspur_node.mesh.journey import Journey

# Times after which a refused caller is asked to come back: a part of the
# objective while its answer can still be in time, else about the time in which
# a burst is over, and a moment where targets refused the call though they have
# slots.
SOON_PART: Final = 0.25
BUSY_RETRY_AFTER_S: Final = 0.4
REFUSED_RETRY_AFTER_S: Final = 0.05
# A node that knows no table or no target learns of them from a control
# instance; after a restart of all, that takes about an election.
UNKNOWN_RETRY_AFTER_S: Final = 0.5


def retry_after_s(journey: Journey) -> float:
    """Return when a call that did not run may find a target.

    Parameters
    ----------
    journey : Journey
        What was tried for the call.
    """
    if not journey.knew_targets:
        return UNKNOWN_RETRY_AFTER_S
    if journey.faults and journey.faults[-1].kind != 'busy':
        return REFUSED_RETRY_AFTER_S
    objective_ms = journey.call.route.objective_ms
    if SOON_PART * objective_ms < journey.useful_ms() < objective_ms:
        return SOON_PART * objective_ms / MS_PER_S
    return BUSY_RETRY_AFTER_S

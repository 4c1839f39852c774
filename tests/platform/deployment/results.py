"""What was seen of a play of a deployment."""

import asyncio
import os
import time
from collections import Counter
from http import HTTPStatus
from itertools import chain
from typing import Any, Final

from tests.platform.deployment.play import DeploymentPlay
from tests.platform.deployment.sites import INNER
from tests.platform.deployment.traffic import (
    FailedCall,
    RoutedCaller,
)
from tests.platform.soak.losses import MARGIN_S

# Ends by itself of one process that count as a fault.
FAULT_ENDS: Final = 3
RECOVERY_S: Final = 15.0
_POLL_S: Final = 0.05
# Timeout of all routes.
TIMEOUT_S: Final = 2.0
# A call that ends earlier than this part of its time was not late.
_EARLY_PART: Final = 0.8


async def until_served(play: DeploymentPlay) -> None:
    """Wait until the callers of all nodes are served again."""
    start_s = time.monotonic()
    seen = set(play.observations.outcomes_by_id)
    missing = set(play.nodes)
    while missing and time.monotonic() < start_s + RECOVERY_S:
        await asyncio.sleep(_POLL_S)
        outcomes = play.observations.outcomes_by_id
        missing -= {
            request_id.partition('-')[0]
            for request_id in outcomes.keys() - seen
            if outcomes[request_id].status == HTTPStatus.OK
        }
    if missing:
        play.orders.broken.append(f'not served at {sorted(missing)}')


def result_of(play: DeploymentPlay) -> dict[str, Any]:
    """Return what was seen."""
    outcomes = play.observations.outcomes_by_id.values()
    inner = sum(INNER in each for each in play.observations.outcomes_by_id)
    ends = Counter(each.partition(' ')[0] for each in play.ended)
    return {
        'acks': play.orders.acks,
        'per_s': round((len(outcomes) - inner) / play.called_s),
        'inner_per_s': round(inner / play.called_s),
        'statuses': dict(Counter(each.status for each in outcomes)),
        'broken': [*play.orders.broken, *play.observations.findings()],
        'broken_off': _broken_off(play),
        'faults': [each for each in ends if ends[each] >= FAULT_ENDS],
        'ends': dict(ends),
        'ended': play.ended,
        'peaks_mib': play.memory.peaks_mib,
        'steps': play.steps,
        'load': os.getloadavg()[0],
    }


def _broken_off(play: DeploymentPlay) -> list[str]:
    """Return calls that a node ended before their time, while they ran.

    Those that passed a node which was killed or frozen are left out.
    """
    inner = (target.inner for target in play.targets.values())
    return [
        str(failed)
        for caller in chain(play.callers, inner)
        for failed in caller.failed
        if _is_broken_off(play, failed, _least_s(caller))
    ]


def _least_s(caller: RoutedCaller) -> float:
    """Return a time after its first byte before which no call is late."""
    return min(caller.route.deadline_ms / 1000, TIMEOUT_S) * _EARLY_PART


def _is_broken_off(
    play: DeploymentPlay, failed: FailedCall, least_s: float
) -> bool:
    ran_at = play.mesh.hosts_by_request.get(failed.request_id)
    if ran_at is None or failed.ended_s - failed.begun_s > least_s:
        return False
    hosts = {failed.request_id.partition('-')[0], ran_at}
    return not any(
        hosts & set(each.hosts)
        and failed.ended_s > each.from_s - MARGIN_S
        and failed.sent_s < each.until_s + MARGIN_S
        for each in play.observations.losses.unavailable
    )

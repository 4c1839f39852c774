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

# Ends by itself of one process that count as a fault.
FAULT_ENDS: Final = 3
RECOVERY_S: Final = 15.0
_POLL_S: Final = 0.05


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
        'steps': play.steps,
        'load': os.getloadavg()[0],
    }


def _broken_off(play: DeploymentPlay) -> list[Any]:
    """Return calls that ran and got a failure of a node's own."""
    runs = play.observations.runs_by_id
    inner = (target.inner for target in play.targets.values())
    return [
        failed
        for caller in chain(play.callers, inner)
        for failed in caller.failed
        if runs[failed[0]]
    ]

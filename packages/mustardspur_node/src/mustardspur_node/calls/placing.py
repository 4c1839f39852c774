"""Placing of calls at targets."""

import asyncio
from http import HTTPStatus
from typing import Final

from mustardspur_core.units import MS_PER_S

from mustardspur_node.calls.balancing import Random
from mustardspur_node.calls.calls import HOP_ALLOWANCE_S, Call, call_fault
from mustardspur_node.calls.endpoints import Endpoint
from mustardspur_node.calls.queues import DeadlineTooClose, QueueFull

# A call that leaves the queue with less than this would end in vain.
_MARGIN: Final = 1.5


async def place(call: Call, uniform: Random) -> Endpoint:
    """Return a target with room, on which the call is counted.

    Raises
    ------
    CallFault
        If no target has room before the deadline.
    """
    route = call.route
    balancer = route.choose(uniform).balancer
    if not balancer.endpoints:
        raise call_fault(
            call,
            HTTPStatus.SERVICE_UNAVAILABLE,
            f'no target of version {balancer.version}',
        )
    queue = call.service.queue
    if not queue.must_wait(route.call_class.priority):
        endpoint = balancer.pick(
            route.call_class,
            asyncio.get_running_loop().time(),
            call.tried,
        )
        if endpoint is not None:
            endpoint.enter(route.call_class)
            return endpoint
    try:
        return await queue.wait(
            balancer,
            route.call_class,
            call.tried,
            call.deadline_at - _needed_s(call),
        )
    except QueueFull as error:
        raise call_fault(
            call,
            HTTPStatus.SERVICE_UNAVAILABLE,
            'no target has room and the queue is full',
        ) from error
    except DeadlineTooClose as error:
        raise call_fault(
            call,
            HTTPStatus.SERVICE_UNAVAILABLE,
            'no target has room before the deadline',
        ) from error


def _needed_s(call: Call) -> float:
    """Return the time that an attempt needs, most of the time."""
    return call.route.usual_ms * _MARGIN / MS_PER_S + HOP_ALLOWANCE_S

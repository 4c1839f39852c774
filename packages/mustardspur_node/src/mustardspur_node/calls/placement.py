"""Acquisition of a target for a call, queued if there is no capacity."""

import asyncio
from http import HTTPStatus
from typing import Final

from mustardspur_core.units import MS_PER_S

from mustardspur_node.calls.balancing import UniformRandom
from mustardspur_node.calls.calls import HOP_ALLOWANCE_S, Call, call_fault
from mustardspur_node.calls.endpoints import Endpoint
from mustardspur_node.calls.queues import DeadlineTooClose, QueueFull

# Multiple of the route's average latency that must remain when a call leaves
# the queue; with less, it would probably miss its deadline.
_LATENCY_MARGIN: Final = 1.5


async def acquire_endpoint(call: Call, uniform: UniformRandom) -> Endpoint:
    """Return a target of which a slot is acquired for the call.

    Raises
    ------
    CallFault
        If the version has no target, the queue is full, or no target has
        capacity before the deadline.
    """
    route = call.route
    balancer = route.choose_pool(uniform).balancer
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
            endpoint.acquire(route.call_class)
            return endpoint
    try:
        return await queue.wait(
            balancer,
            route.call_class,
            call.tried,
            call.deadline_at - _expected_attempt_s(call),
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


def _expected_attempt_s(call: Call) -> float:
    """Return the time in seconds in which most attempts complete."""
    return (
        call.route.average_latency_ms * _LATENCY_MARGIN / MS_PER_S
        + HOP_ALLOWANCE_S
    )

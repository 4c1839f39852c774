"""Endpoints without connections, for unit tests."""

from typing import Any, cast

from mustardspur_core.locations import Distance, Link
from mustardspur_core.profile.model import CallClass
from mustardspur_node.calls.call_classes import CompiledCallClass
from mustardspur_node.calls.channels import TargetChannel
from mustardspur_node.calls.endpoints import Endpoint
from mustardspur_node.calls.links import LinkMeter
from mustardspur_node.calls.slow_start import SlowStart

from tests.node.stand_ins.views import make_target


def make_endpoint(
    name: str,
    distance: Distance = Distance.SAME_DATA_CENTRE,
    slow_start_s: float = 0,
    **changes: Any,
) -> Endpoint:
    """Return an endpoint at a distance."""
    link = Link(first='erie', second='michigan')
    far = distance is Distance.OTHER_REGION
    return Endpoint(
        make_target(name, **changes),
        distance,
        LinkMeter(link) if far else None,
        cast(TargetChannel, None),
        SlowStart(0, slow_start_s),
    )


def make_class(priority: int = 0, **changes: int) -> CompiledCallClass:
    """Return a call class; only priority 0 may use the reserve."""
    fields = {'max_in_flight_per_target': 9, 'queue_limit': 10}
    return CompiledCallClass(
        f'class-{priority}',
        CallClass(priority=priority, **(fields | changes)),
        leaves_reserve=priority > 0,
    )

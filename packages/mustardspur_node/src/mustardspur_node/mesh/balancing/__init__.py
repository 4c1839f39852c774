"""Policies that select the targets of a call."""

from mustardspur_node.mesh.balancing import (
    automatic,
    first_free,
    least_expected,
)
from mustardspur_node.mesh.balancing.large_bodies import LargeBodies
from mustardspur_node.mesh.balancing.limits import MIN_LEFT_MS
from mustardspur_node.mesh.balancing.registry import (
    BalancingPolicy,
    Knowledge,
    Offer,
    balancing_policy,
    new_policy,
    new_run_times,
)

# Importing these modules registers their policies.
POLICY_MODULES = (least_expected, first_free, automatic)

__all__ = [
    'MIN_LEFT_MS',
    'POLICY_MODULES',
    'BalancingPolicy',
    'Knowledge',
    'LargeBodies',
    'Offer',
    'balancing_policy',
    'new_policy',
    'new_run_times',
]

"""Profiles: routing of traffic to targets and replacement of versions."""

from mustardspur_core.profile.checks import check_profile
from mustardspur_core.profile.model import (
    CallClass,
    MovePolicy,
    Profile,
    RetryPolicy,
    Route,
    TargetSet,
)
from mustardspur_core.profile.parsing import parse_profile

__all__ = [
    'CallClass',
    'MovePolicy',
    'Profile',
    'RetryPolicy',
    'Route',
    'TargetSet',
    'check_profile',
    'parse_profile',
]

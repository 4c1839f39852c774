"""Applied state of a control instance: profiles, services, moves, answers."""

from mustardspur_control.store.answers import EditIdReused
from mustardspur_control.store.checks import edit_findings
from mustardspur_control.store.records import (
    FollowedService,
    MoveRecord,
    ProfileEdit,
    StoredDecision,
    StoredProfile,
)
from mustardspur_control.store.store import Store

__all__ = [
    'EditIdReused',
    'FollowedService',
    'MoveRecord',
    'ProfileEdit',
    'Store',
    'StoredDecision',
    'StoredProfile',
    'edit_findings',
]

"""Applied state of a control instance: profiles, services, moves, answers."""

from mustardspur_control.store.answers import EditIdReused
from mustardspur_control.store.checks import edit_findings
from mustardspur_control.store.records import (
    Decision,
    FollowedService,
    MoveRecord,
    ProfileEdit,
    StoredProfile,
)
from mustardspur_control.store.store import Store

__all__ = [
    'Decision',
    'EditIdReused',
    'FollowedService',
    'MoveRecord',
    'ProfileEdit',
    'Store',
    'StoredProfile',
    'edit_findings',
]

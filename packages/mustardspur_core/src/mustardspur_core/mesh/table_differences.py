"""Differences between two routing tables, as their effect on calls."""

from collections.abc import Iterator, Mapping
from typing import TypeVar

from mustardspur_core.mesh.model import ClientAccount, MeshRoute, RoutingTable
from mustardspur_core.record import Record

_RecordT = TypeVar('_RecordT', bound=Record)


def table_differences(old: RoutingTable, new: RoutingTable) -> list[str]:
    """Return what changes for calls if a table replaces another one."""
    return [
        *_route_differences(old, new),
        *_service_differences(old, new),
        *_account_differences(old, new),
        *_field_changes('limits', old.limits, new.limits),
    ]


def _route_differences(old: RoutingTable, new: RoutingTable) -> Iterator[str]:
    for name, added in _added(old.routes, new.routes).items():
        yield f'route {name} is added: {_place(added)} goes to {_parts(added)}'
    for dropped, removed in _added(new.routes, old.routes).items():
        yield f'route {dropped} is removed: {_place(removed)} gets 404'
    for before, after in _pairs(old.routes, new.routes):
        yield from _field_changes(f'route {after.name}', before, after)


def _service_differences(old: RoutingTable, new: RoutingTable) -> Iterator[str]:
    for name in _added(old.services, new.services):
        yield f'service {name} is added'
    for dropped in _added(new.services, old.services):
        yield f'service {dropped} is removed'
    for before, after in _pairs(old.services, new.services):
        yield from _field_changes(f'service {after.name}', before, after)


def _account_differences(old: RoutingTable, new: RoutingTable) -> Iterator[str]:
    if old.requires_keys != new.requires_keys:
        needed = 'need a key' if new.requires_keys else 'need no key any more'
        yield f'calls on routes that are not public {needed}'
    for name in _added(old.accounts, new.accounts):
        yield f'account {name} is added'
    for dropped in _added(new.accounts, old.accounts):
        yield f'account {dropped} is removed: its keys are refused'
    for before, after in _pairs(old.accounts, new.accounts):
        yield from _account_changes(before, after)


def _account_changes(
    before: ClientAccount,
    after: ClientAccount,
) -> Iterator[str]:
    """Yield the changes of an account; digests of keys are only counted."""
    withdrawn = set(before.key_digests) - set(after.key_digests)
    granted = set(after.key_digests) - set(before.key_digests)
    if withdrawn:
        yield f'account {after.name}: {len(withdrawn)} keys are refused'
    if granted:
        yield f'account {after.name}: {len(granted)} keys are added'
    for change in _field_changes(f'account {after.name}', before, after):
        if ' key_digests ' not in change:
            yield change


def _field_changes(
    subject: str,
    before: Record,
    after: Record,
) -> Iterator[str]:
    for name in after.__slots__:
        old, new = getattr(before, name), getattr(after, name)
        if old != new:
            change = ' becomes '.join(map(_shown, (old, new)))
            yield f'{subject}: {name} {change}'


def _added(
    old: Mapping[str, _RecordT],
    new: Mapping[str, _RecordT],
) -> dict[str, _RecordT]:
    return {name: new[name] for name in new if name not in old}


def _pairs(
    old: Mapping[str, _RecordT],
    new: Mapping[str, _RecordT],
) -> list[tuple[_RecordT, _RecordT]]:
    return [(old[name], new[name]) for name in new if name in old]


def _place(route: MeshRoute) -> str:
    return f'{route.host}{route.path_prefix}'


def _parts(route: MeshRoute) -> str:
    return ', '.join(
        f'{share.service} {_shown(share.weight)}' for share in route.shares
    )


def _shown(field: object) -> str:
    if isinstance(field, list):
        shown = ', '.join(map(_shown, field))
        return f'[{shown}]'
    if isinstance(field, Record):
        return ' '.join(
            _shown(getattr(field, name)) for name in field.__slots__
        )
    return format(field, 'g') if isinstance(field, float) else str(field)

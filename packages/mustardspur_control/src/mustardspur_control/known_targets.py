"""Targets by holder, and the lists of valid targets by service."""

from collections.abc import Callable, Iterable

from mustardspur_core.state import Target
from mustardspur_core.target_list import TargetList

from mustardspur_control.claims import Claims

TargetsById = dict[str, Target]


class KnownTargets:
    """Targets by holder, and a list of the valid ones by service.

    See Also
    --------
    Claims : which of several conflicting targets is valid.
    """

    __slots__ = (
        '_callbacks',
        '_claims',
        '_lists',
        '_service_by_id',
        '_targets_by_holder',
    )

    def __init__(self) -> None:
        """Initialise without targets."""
        self._claims = Claims()
        self._targets_by_holder: dict[str, TargetsById] = {}
        self._lists: dict[str, TargetList] = {}
        self._service_by_id: dict[str, str] = {}
        self._callbacks: list[Callable[[str], None]] = []

    @property
    def services(self) -> list[str]:
        """Services that have or once had a target."""
        return list(self._lists)

    def on_change(self, callback: Callable[[str], None]) -> None:
        """Register a callback for the name of each service that changes."""
        self._callbacks.append(callback)

    def targets_of(self, holder: str) -> TargetsById:
        """Return a copy of a holder's targets."""
        return dict(self._targets_by_holder.get(holder, {}))

    def list_of(self, service: str) -> TargetList:
        """Return the list of the valid targets of a service."""
        if service not in self._lists:
            self._lists[service] = TargetList(service)
        return self._lists[service]

    def claimed_by_other(self, target: Target) -> Target | None:
        """Return the target of the same identifier on another node, if any."""
        return self._claims.claimed_by_other(target)

    def replace_targets(self, holder: str, targets: TargetsById) -> None:
        """Replace all targets of a holder."""
        earlier = self._targets_by_holder.pop(holder, {})
        if targets:
            self._targets_by_holder[holder] = targets
        changed: list[Target] = []
        for target_id in earlier.keys() | targets.keys():
            pair = (earlier.get(target_id), targets.get(target_id))
            if pair[0] != pair[1]:
                self._claims.put(holder, target_id, pair[1])
                changed.extend(filter(None, pair))
        self._update_lists(changed)

    def notify(self, services: Iterable[str]) -> None:
        """Call the callbacks with each of the services."""
        for service in list(services):
            for callback in self._callbacks:
                callback(service)

    def _update_lists(self, changed: list[Target]) -> None:
        ids = {target.id for target in changed}
        ids |= self._claims.ids_at(*(target.address for target in changed))
        services: set[str] = set()
        for target_id in ids:
            services |= self._update_valid(target_id)
        self.notify(services)

    def _update_valid(self, target_id: str) -> set[str]:
        valid = self._claims.valid_target(target_id)
        # Only the lists of its previous and of its new service can change.
        services = {self._service_by_id.pop(target_id, None)}
        if valid is not None:
            self._service_by_id[target_id] = valid.service
            services.add(valid.service)
        return {
            name
            for name in filter(None, services)
            if self.list_of(name).put_or_remove(target_id, valid)
        }

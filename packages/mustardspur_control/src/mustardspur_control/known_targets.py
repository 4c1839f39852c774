"""Targets that holders announce, and the lists made from them."""

from collections.abc import Callable, Iterable

from mustardspur_core.state import Target
from mustardspur_core.target_list import TargetList

from mustardspur_control.claims import Claims

TargetsById = dict[str, Target]


class KnownTargets:
    """Targets by holder, and a list of those that count by service.

    See Also
    --------
    Claims : which of several targets counts.
    """

    __slots__ = (
        '_callbacks',
        '_claims',
        '_held_by',
        '_lists',
        '_service_by_id',
    )

    def __init__(self) -> None:
        """Start without targets."""
        self._claims = Claims()
        self._held_by: dict[str, TargetsById] = {}
        self._lists: dict[str, TargetList] = {}
        self._service_by_id: dict[str, str] = {}
        self._callbacks: list[Callable[[str], None]] = []

    @property
    def services(self) -> list[str]:
        """Services that have or had a target."""
        return list(self._lists)

    def on_change(self, callback: Callable[[str], None]) -> None:
        """Call back with a service's name after a change of its list."""
        self._callbacks.append(callback)

    def held_by(self, holder: str) -> TargetsById:
        """Return a copy of a holder's targets."""
        return dict(self._held_by.get(holder, {}))

    def list_of(self, service: str) -> TargetList:
        """Return the targets of a service that count."""
        if service not in self._lists:
            self._lists[service] = TargetList(service)
        return self._lists[service]

    def claimed_by_other(self, target: Target) -> Target | None:
        """Return the same identifier's target on another node, if any."""
        return self._claims.claimed_by_other(target)

    def hold(self, holder: str, taken: TargetsById) -> None:
        """Replace all targets of a holder."""
        earlier = self._held_by.pop(holder, {})
        if taken:
            self._held_by[holder] = taken
        touched: list[Target] = []
        for target_id in earlier.keys() | taken.keys():
            pair = (earlier.get(target_id), taken.get(target_id))
            if pair[0] != pair[1]:
                self._claims.put(holder, target_id, pair[1])
                touched.extend(filter(None, pair))
        self._choose(touched)

    def notify(self, services: Iterable[str]) -> None:
        """Call back for some services."""
        for service in list(services):
            for callback in self._callbacks:
                callback(service)

    def _choose(self, touched: list[Target]) -> None:
        ids = {target.id for target in touched}
        ids |= self._claims.sharing(*(target.address for target in touched))
        changed: set[str] = set()
        for target_id in ids:
            changed |= self._put_chosen(target_id)
        self.notify(changed)

    def _put_chosen(self, target_id: str) -> set[str]:
        chosen = self._claims.chosen(target_id)
        # Only the list that has the target and the one that gets it change.
        places = {self._service_by_id.pop(target_id, None)}
        if chosen is not None:
            self._service_by_id[target_id] = chosen.service
            places.add(chosen.service)
        return {
            name
            for name in filter(None, places)
            if self.list_of(name).put_or_remove(target_id, chosen)
        }

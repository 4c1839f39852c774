"""The services that a node needs, and what it reports of them."""

from collections.abc import Callable, Iterable

from mustardspur_core.messages import Applied

from mustardspur_node.held_service import HeldService
from mustardspur_node.views import ServiceView


class HeldServices:
    """What a node holds, by service; read by the path of a call."""

    def __init__(self, services: Iterable[str]) -> None:
        """Hold nothing of some services."""
        self._services: dict[str, HeldService] = {}
        self._callbacks: list[Callable[[str], None]] = []
        for service in services:
            self.need(service)

    @property
    def services(self) -> list[str]:
        """Services that the node needs."""
        return list(self._services)

    @property
    def indexes(self) -> dict[str, int]:
        """Highest accepted index by service."""
        return {
            name: held.index
            for name, held in self._services.items()
            if held.newest is not None
        }

    @property
    def revisions(self) -> dict[str, str]:
        """Revision of the targets by service, where there are any."""
        return {
            name: held.revision
            for name, held in self._services.items()
            if held.revision
        }

    @property
    def waiting(self) -> dict[str, str]:
        """Why a service has no view or not the newest, by service."""
        return {
            name: held.reason
            for name, held in self._services.items()
            if held.reason
        }

    @property
    def unconfirmed(self) -> list[str]:
        """Services without an accepted configuration."""
        return [
            name for name, held in self._services.items() if not held.newest
        ]

    def on_change(self, callback: Callable[[str], None]) -> None:
        """Call back with a service's name after each change."""
        self._callbacks.append(callback)

    def need(self, service: str) -> bool:
        """Add a service; return whether it is new."""
        if service in self._services:
            return False
        self._services[service] = HeldService(service)
        return True

    def view(self, service: str) -> ServiceView | None:
        """Return the view in force, None before the first one."""
        held = self._services.get(service)
        return held.view if held else None

    def applied(self, service: str) -> Applied:
        """Return what to report for a service."""
        return self._services[service].applied

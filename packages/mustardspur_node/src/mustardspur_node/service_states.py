"""States of the services that a node needs."""

from collections.abc import Callable, Iterable

from mustardspur_core.messages import Applied

from mustardspur_node.service_state import ServiceState
from mustardspur_node.views import ServiceView


class ServiceStates:
    """State by service, read by the forwarding of calls."""

    def __init__(self, services: Iterable[str]) -> None:
        """Initialise services without a configuration."""
        self._states: dict[str, ServiceState] = {}
        self._callbacks: list[Callable[[str], None]] = []
        for service in services:
            self.add_service(service)

    @property
    def services(self) -> list[str]:
        """Services that the node needs."""
        return list(self._states)

    @property
    def indexes(self) -> dict[str, int]:
        """Highest accepted index by service."""
        return {
            name: state.index
            for name, state in self._states.items()
            if state.newest is not None
        }

    @property
    def revisions(self) -> dict[str, str]:
        """Revision of the targets by service, if the service has any."""
        return {
            name: state.revision
            for name, state in self._states.items()
            if state.revision
        }

    @property
    def waiting(self) -> dict[str, str]:
        """Reason why the newest configuration is not in force, by service."""
        return {
            name: state.reason
            for name, state in self._states.items()
            if state.reason
        }

    @property
    def unconfirmed(self) -> list[str]:
        """Services without an accepted configuration."""
        return [
            name for name, state in self._states.items() if not state.newest
        ]

    def on_change(self, callback: Callable[[str], None]) -> None:
        """Register a callback for the name of each service that changes."""
        self._callbacks.append(callback)

    def add_service(self, service: str) -> bool:
        """Add a service; return whether it is new."""
        if service in self._states:
            return False
        self._states[service] = ServiceState(service)
        return True

    def view(self, service: str) -> ServiceView | None:
        """Return the view in force, None before the first one."""
        state = self._states.get(service)
        return state.view if state else None

    def applied(self, service: str) -> Applied:
        """Return the report on a service for the control instance."""
        return self._states[service].applied

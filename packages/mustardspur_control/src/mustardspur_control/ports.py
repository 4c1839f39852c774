"""Interfaces between the components of a control instance."""

from collections.abc import Callable
from typing import Protocol

from mustardspur_core.state import Move, ServiceConfig


class ConfigSource(Protocol):
    """Store, as read by the streams to nodes and the move driver."""

    def config(self, service: str) -> ServiceConfig | None:
        """Return the newest configuration of a service."""

    def services(self) -> list[str]:
        """Return the names of all services that follow a profile."""

    def running_moves(self) -> list[Move]:
        """Return the moves that are running or paused."""

    def on_change(self, callback: Callable[[str], None]) -> None:
        """Register a callback for the name of each service that changes."""

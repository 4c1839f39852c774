"""Immutable views of services on a node, and interfaces to them."""

from typing import Protocol

from mustardspur_core.record import Record
from mustardspur_core.state import ServiceConfig, Target


class ServiceView(Record):
    """Consistent configuration and targets of a service.

    Explanation
    ===========

    A view is built completely, checked, and replaces the previous one in a
    single assignment; it is never changed. Every version that a route can
    reach through its target sets and the moves has a key in
    `targets_by_version`, possibly without targets.

    Parameters
    ----------
    config : ServiceConfig
        The configuration in force.
    targets_by_version : dict of list of Target
        Ready targets by version.
    cut_off_moves : list of str
        Identifiers of moves whose new version receives no traffic.
    """

    __slots__ = ('config', 'targets_by_version', 'cut_off_moves')
    config: ServiceConfig
    targets_by_version: dict[str, list[Target]]
    cut_off_moves: list[str]


class ViewSource(Protocol):
    """Source of the views for the forwarding of calls."""

    def view(self, service: str) -> ServiceView | None:
        """Return the view in force, None before the first one."""


class OutcomeSink(Protocol):
    """Receiver of the outcomes of attempts."""

    def record_outcome(
        self,
        view: ServiceView,
        route: str,
        target: Target,
        outcome: str,
        latency_ms: float,
        caller: str = '',
    ) -> None:
        """Count an attempt by its outcome.

        `outcome` is ``ok``, ``failure``, ``refusal``, or ``abandoned`` for an
        attempt whose answer was no longer awaited after `latency_ms`.

        `caller` is the name of the caller, empty if it is not counted
        separately.
        """

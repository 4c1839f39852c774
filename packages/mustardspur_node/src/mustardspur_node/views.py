"""What a node knows of a service, as one immutable whole."""

from typing import Protocol

from mustardspur_core.record import Record
from mustardspur_core.state import ServiceConfig, Target


class ServiceView(Record):
    """Configuration and targets of a service that belong together.

    Explanation
    ===========

    A view is built completely, checked, and then put in place of the one
    before it in a single assignment; it is never changed. Every version that
    a route can reach through its target sets and the moves has its key in
    `targets_by_version`, possibly with no target left.

    Parameters
    ----------
    config : ServiceConfig
        The configuration in force.
    targets_by_version : dict of list of Target
        Targets that may get calls, by version.
    cut_off_moves : list of str
        Identifiers of moves whose new version gets no traffic.
    """

    __slots__ = ('config', 'targets_by_version', 'cut_off_moves')
    config: ServiceConfig
    targets_by_version: dict[str, list[Target]]
    cut_off_moves: list[str]


class ViewSource(Protocol):
    """Where the path of a call finds the views."""

    def view(self, service: str) -> ServiceView | None:
        """Return the view in force, None before the first one."""


class OutcomeSink(Protocol):
    """Where the path of a call reports what became of an attempt."""

    def record_outcome(
        self,
        view: ServiceView,
        route: str,
        target: Target,
        outcome: str,
        latency_ms: float,
        caller: str = '',
    ) -> None:
        """Count an attempt; `outcome` is ``ok``, ``failure``, ``refusal``.

        `caller` is the organisation that calls, empty where it is unknown.
        """

"""Nodes of a move: one per data centre, with the guard of the daemon."""

from collections.abc import Callable

from mustardspur_core.messages import CutOff, Outcomes
from mustardspur_core.state import ServiceConfig
from mustardspur_moves import Guard
from mustardspur_node.views import ServiceView

from benchmarks.moves.layout import NEW_VERSION, cells_of
from benchmarks.moves.traffic import Calls
from benchmarks.moves.users import UserLoad

Send = Callable[[Outcomes | CutOff], None]


class FakeNode:
    """A node with its guard and the view that it has in force.

    Parameters
    ----------
    user : UserLoad
        User whose targets it calls.
    centre : str
        Its data centre.
    send : callable
        Sends a message to the control instance.
    clock : callable
        Returns the wall clock time in seconds.
    """

    def __init__(
        self,
        user: UserLoad,
        centre: str,
        send: Send,
        clock: Callable[[], float],
    ) -> None:
        """Initialise without a view."""
        self.centre = centre
        self.view: ServiceView | None = None
        self._targets = {
            cell.target.id: cell.target
            for cell in cells_of(user)
            if cell.is_new
        }
        self.guard = Guard(f'node-{centre}', send, _ignore_cut_off, clock)

    def update(self, config: ServiceConfig | None) -> None:
        """Put a configuration in force."""
        if config:
            self.view = ServiceView(
                config=config,
                targets_by_version={NEW_VERSION: list(self._targets.values())},
                cut_off_moves=list(self.guard.cut_offs),
            )

    def share(self, cuts_off: bool) -> float:
        """Return the share of its calls that go to the new version."""
        if self.view is None:
            return 0
        move = self.view.config.moves[-1]
        is_cut_off = cuts_off and move.id in self.guard.cut_offs
        return 0 if is_cut_off else move.share

    def record_calls(self, calls: Calls) -> None:
        """Record the outcomes of the calls of one second."""
        if self.view:
            self.guard.record_counts(
                self.view,
                calls.cell.route_name,
                calls.cell.target,
                calls.outcomes,
                calls.cell.caller_name,
            )


def _ignore_cut_off(cut_off: CutOff) -> None:
    """Ignore the cut-off, since `share` reads the cut-offs of the guard."""

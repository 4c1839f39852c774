"""State of a call over its placements on targets."""

import asyncio
import random
from typing import Final

from mustardspur_core.mesh.call_messages import TargetLoad
from mustardspur_core.mesh.model import MeshTarget
from mustardspur_core.suspension import suspended_s
from mustardspur_core.tracebacks import release_frames
from mustardspur_core.units import MS_PER_S

from mustardspur_node.mesh.call_value import max_wait_ms
from mustardspur_node.mesh.calls import MeshCall, PlacementFault, TargetAnswer
from mustardspur_node.mesh.first_offers import FirstOffers
from mustardspur_node.mesh.homes import Homes
from mustardspur_node.mesh.versions import eligible_targets
from mustardspur_node.mesh.view import MeshView

# Faults of a target that is missing or takes no calls.
TURNED_AWAY_KINDS: Final = frozenset(('unreachable', 'moved', 'closed'))


class CallProgress:
    """State of a call over its placements on targets.

    Parameters
    ----------
    call : MeshCall
        The call.
    service : str
        The service that the call is assigned to.

    Attributes
    ----------
    placements : int
        Number of targets that the call was placed on.
    turned_away : int
        Number of placements at which the target was missing or closed.
    arrivals : int
        Number of placements at which the call was sent to the target.
    possible_runs : int
        Number of placements at which the call ran or may have run.
    may_run : bool
        Whether the call may run at the target that it is placed on.
    tried_nodes : set of str
        Addresses of the nodes whose targets the call was placed on.
    first_offers : FirstOffers
        First offers that were refused.
    faults : list of PlacementFault
        Faults of the placements, oldest first.
    failed_answer : TargetAnswer or None
        Answer with a server error after which the call was placed again.
    homes : Homes
        Regions in which the call may be served.
    """

    __slots__ = (
        '_candidates',
        '_suspended_s',
        'arrivals',
        'call',
        'failed_answer',
        'faults',
        'first_offers',
        'homes',
        'may_run',
        'placements',
        'possible_runs',
        'service',
        'tried_nodes',
        'turned_away',
    )

    def __init__(self, call: MeshCall, service: str) -> None:
        """Initialise the state of a call that was not placed yet."""
        self.call = call
        self.service = service
        self.placements = 0
        self.turned_away = 0
        self.arrivals = 0
        self.possible_runs = 0
        self.may_run = False
        self.tried_nodes: set[str] = set()
        self.first_offers = FirstOffers()
        self.faults: list[PlacementFault] = []
        self.failed_answer: TargetAnswer | None = None
        account = call.account
        self.homes = Homes(
            call.route.home_regions,
            account.home_regions if account else (),
        )
        self._candidates: list[MeshTarget] | None = None
        # Suspended time of the instance when the call was received.
        self._suspended_s = suspended_s()

    def candidates(
        self,
        view: MeshView,
        random_source: random.Random,
    ) -> list[MeshTarget]:
        """Return the targets that the call may be placed on.

        The version of the service is chosen at the first use and does not
        change afterwards. Targets whose data centre has been evacuated since
        are left out.
        """
        if self._candidates is None:
            self._candidates = eligible_targets(
                view,
                self.service,
                random_source,
                self.homes,
            )
        return view.evacuated.select(self._candidates)

    @property
    def had_candidates(self) -> bool:
        """Whether there was any target that the call could be placed on."""
        return bool(self._candidates)

    @property
    def timed_out(self) -> bool:
        """Whether the call ends because its deadline has passed.

        The target's node ends a call slightly earlier than the caller's node,
        so a last fault of kind ``timeout`` counts as well.
        """
        last = self.faults[-1].kind if self.faults else ''
        return self.left_ms() <= 0 or last == 'timeout'

    def mark_may_run(self) -> None:
        """Record that the call may run from now on."""
        self.may_run = True

    async def before_send(self, _: TargetLoad) -> None:
        """Record that the local target may run the call."""
        self.mark_may_run()

    def record_placement(self, node: str, *, is_first: bool) -> None:
        """Count a placement on the target of a node.

        Parameters
        ----------
        node : str
            Address of the node.
        is_first : bool
            Whether it is an offer without a wait.
        """
        self.placements += 1
        self.tried_nodes.add(node)
        self.first_offers.record_placement(node, is_first=is_first)
        self.may_run = False

    def record_fault(self, fault: PlacementFault) -> None:
        """Record the fault of a placement and update the counts."""
        release_frames(fault)
        self.faults.append(fault)
        if fault.kind in TURNED_AWAY_KINDS:
            self.turned_away += 1
        if fault.kind == 'busy':
            self.first_offers.record_busy()
        if fault.arrived:
            self.arrivals += 1
        if fault.not_run:
            self.may_run = False
        else:
            self.possible_runs += 1

    def left_ms(self) -> float:
        """Return the time until the deadline in milliseconds."""
        return (self.call.deadline_s - self._elapsed_clock_s()) * MS_PER_S

    def useful_ms(self) -> float:
        """Return the time in which an answer keeps most of its value."""
        return (self.call.useful_s - self._elapsed_clock_s()) * MS_PER_S

    def max_wait_ms(self) -> float:
        """Return the longest useful wait for a slot in milliseconds."""
        return max_wait_ms(self.call.route)

    def elapsed_ms(self) -> float:
        """Return the time since the request was received."""
        return (_now() - self.call.started_s) * MS_PER_S

    def failure_reason(self) -> str:
        """Return why the call has no answer of a target."""
        if self.faults:
            return str(self.faults[-1])
        if self.had_candidates:
            return 'busy: all targets that are known are full'
        return f'no target is known in {self.homes}'

    def _elapsed_clock_s(self) -> float:
        """Return the loop's time, plus the suspended time since the start."""
        return _now() + suspended_s() - self._suspended_s


def in_time_ms(progress: CallProgress) -> float:
    """Return the time in which an answer is within the objective.

    For calls with large bodies, which wait for the link for longer than for a
    slot.
    """
    objective_ms = progress.call.route.objective_ms - progress.elapsed_ms()
    return min(progress.useful_ms(), progress.left_ms(), objective_ms)


def left_wait_ms(progress: CallProgress) -> float:
    """Return what is left of the longest useful wait over all targets."""
    return max(progress.max_wait_ms() - progress.first_offers.waited_ms, 0)


def _now() -> float:
    return asyncio.get_running_loop().time()

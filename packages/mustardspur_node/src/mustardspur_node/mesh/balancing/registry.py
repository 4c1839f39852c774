"""Registry of the policies that select the targets of a call."""

import random
from collections.abc import Callable
from typing import NamedTuple, Protocol

from mustardspur_core.mesh.model import MeshTarget
from mustardspur_core.record import Record

from mustardspur_node.mesh.call_progress import CallProgress
from mustardspur_node.mesh.chooser import TargetChooser
from mustardspur_node.mesh.run_times import RunTimes
from mustardspur_node.mesh.view import MeshView


class Offer(NamedTuple):
    """A target that a call is placed on next.

    Parameters
    ----------
    target : MeshTarget
        The target.
    max_wait_ms : float
        Longest wait for a slot that the target is asked for, 0 if the call
        is refused there unless a slot is free.
    is_first : bool
        Whether a refusal costs the call nothing but a round trip, since the
        target was asked not to let it wait.
    is_spilled : bool
        Whether the call leaves its region, which is short of capacity, before
        a target there has refused it.
    """

    target: MeshTarget
    max_wait_ms: float
    is_first: bool = False
    is_spilled: bool = False


class Knowledge(Record):
    """What a node knows when it selects targets.

    Parameters
    ----------
    view : MeshView
        Targets of the mesh.
    chooser : TargetChooser
        Reported load of the targets.
    random_source : random.Random
        Source of random choices.
    """

    __slots__ = ('view', 'chooser', 'random_source')
    view: MeshView
    chooser: TargetChooser
    random_source: random.Random


class BalancingPolicy(Protocol):
    """Decides the order of the targets of a call and when it gives up."""

    def next_offer(
        self,
        progress: CallProgress,
        targets: list[MeshTarget],
    ) -> Offer | None:
        """Return where a call is placed next, None if it gives up.

        Parameters
        ----------
        progress : CallProgress
            State of the call over its placements so far.
        targets : list of MeshTarget
            Targets that may run the call, including those that were tried.
        """


NewPolicy = Callable[[Knowledge], BalancingPolicy]


class _Registered(Record):
    """A registered policy."""

    __slots__ = ('new', 'run_times')
    new: NewPolicy
    run_times: type[RunTimes]


_registered_by_name: dict[str, _Registered] = {}


def balancing_policy(
    name: str,
    run_times: type[RunTimes],
) -> Callable[[NewPolicy], NewPolicy]:
    """Register a policy.

    Parameters
    ----------
    name : str
        Name in the settings.
    run_times : type
        Run times that the node beside a target records for this policy.
    """

    def decorator(new: NewPolicy) -> NewPolicy:
        _registered_by_name[name] = _Registered(new=new, run_times=run_times)
        return new

    return decorator


def new_policy(name: str, knowledge: Knowledge) -> BalancingPolicy:
    """Return a policy by its name in the settings."""
    return _registered_by_name[name].new(knowledge)


def new_run_times(name: str) -> RunTimes:
    """Return run times without runs for the policy of a name."""
    return _registered_by_name[name].run_times()

"""Targets that are announced as cold, as callers' nodes use them."""

import asyncio
import random
from collections.abc import Iterable
from typing import Any, Final

from mustardspur_core.mesh.model import MeshTarget
from mustardspur_core.units import MS_PER_S

from mustardspur_node.mesh.capacity import limited_capacity
from mustardspur_node.mesh.rate_limit import BURST_S
from mustardspur_node.mesh.service_rules import service_rule
from mustardspur_node.mesh.view import MeshView

# Factor on the run time of a cold target whose service has no bound.
COLD_FACTOR: Final = 2.0
# Targets whose cold time is stored.
MAX_COLD_TARGETS: Final = 8192


class AnnouncedColdTargets:
    """Cold times that targets are announced with.

    Explanation
    ===========

    A node that has no recent load report of a cold target sends it calls at
    an equal part of its bound only: the bound divided by the nodes of the
    target's data centre. All of them would otherwise try it at the same time,
    and most of the calls would be refused there.

    Parameters
    ----------
    random_source : random.Random
        Source of the times of the first calls.
    """

    __slots__ = (
        '_announced_until_s',
        '_next_call_s',
        '_random',
        '_started_until_s',
        '_view',
    )

    def __init__(self, random_source: random.Random) -> None:
        """Initialise without cold targets and bounds."""
        self._random = random_source
        self._view: MeshView | None = None
        # The first cold time of each target, used without a bound, since the
        # same announcement can be received again.
        self._started_until_s: dict[str, float] = {}
        # Cold time of the latest announcement of each node with its number,
        # used with a bound.
        self._announced_until_s: dict[str, tuple[int, int, float]] = {}
        # Time from which a node without a recent load report calls a target.
        self._next_call_s: dict[str, float] = {}

    def use_view(self, view: MeshView) -> None:
        """Use the rules and the nodes that a view contains."""
        self._view = view

    def record(self, targets: Iterable[MeshTarget]) -> None:
        """Record until when announced targets are cold.

        A target with a bound is announced again when it turns cold again.
        """
        for target in targets:
            until_s = _now() + target.cold_ms / MS_PER_S
            key = f'{target.node}/{target.id}'
            if target.cold_ms:
                self._started_until_s.setdefault(key, until_s)
            self._record_announcement(target, until_s)
        _evict_oldest(self._started_until_s)
        _evict_oldest(self._announced_until_s)

    def run_ms(
        self,
        target: MeshTarget,
        run_ms: float,
        *,
        reported: bool,
    ) -> float:
        """Return the run time to expect of a target.

        Parameters
        ----------
        run_ms : float
            Mean run time in milliseconds.
        reported : bool
            Whether the target has a load report, which includes its bound.
        """
        if not self._is_cold(target):
            return run_ms
        bound_per_s = self._bound_per_s(target)
        if not bound_per_s:
            return run_ms * COLD_FACTOR
        if reported:
            return run_ms
        return limited_capacity(bound_per_s, target.slots, run_ms).run_ms

    def has_warmed_since(self, target: MeshTarget, report_s: float) -> bool:
        """Return whether a target was cold at a report and is not any more."""
        announced = self._announced_until_s.get(target.node)
        if announced is None or not self._bound_per_s(target):
            return False
        return report_s < announced[2] <= _now()

    def may_call(self, target: MeshTarget) -> bool:
        """Return whether a call without a recent load report may be sent."""
        bound_per_s = self._bound_per_s(target)
        if not bound_per_s or not self._is_cold(target):
            return True
        next_s = self._next_call_s.get(target.node)
        if next_s is None:
            # The nodes start at different times; together their first calls
            # keep the rate, after a burst of `BURST_S`.
            interval_s = self._interval_s(target, bound_per_s)
            offset_s = self._random.random() * interval_s - BURST_S
            next_s = _now() + offset_s
            self._next_call_s[target.node] = next_s
        return _now() >= next_s

    def record_chosen(self, target: MeshTarget) -> None:
        """Count a call for which a target was chosen."""
        bound_per_s = self._bound_per_s(target)
        if bound_per_s and self._is_cold(target):
            interval_s = self._interval_s(target, bound_per_s)
            self._next_call_s[target.node] = _now() + interval_s

    def _interval_s(self, target: MeshTarget, bound_per_s: float) -> float:
        nodes = self._view.targets_by_node.values() if self._view else ()
        near = sum(each.data_centre == target.data_centre for each in nodes)
        return max(near, 1) / bound_per_s

    def _is_cold(self, target: MeshTarget) -> bool:
        if self._bound_per_s(target):
            announced = self._announced_until_s.get(target.node)
            return announced is not None and _now() < announced[2]
        key = f'{target.node}/{target.id}'
        return _now() < self._started_until_s.get(key, 0)

    def _record_announcement(self, target: MeshTarget, until_s: float) -> None:
        number = (target.incarnation, target.sequence)
        known = self._announced_until_s.get(target.node)
        if known is None or number > known[:2]:
            self._announced_until_s[target.node] = (*number, until_s)
            self._next_call_s.pop(target.node, None)

    def _bound_per_s(self, target: MeshTarget) -> float:
        if self._view is None:
            return 0
        rule = service_rule(self._view, target.service)
        return rule.cold_per_s if rule else 0


def _evict_oldest(by_target: dict[str, Any]) -> None:
    while len(by_target) > MAX_COLD_TARGETS:
        by_target.pop(next(iter(by_target)))


def _now() -> float:
    return asyncio.get_running_loop().time()

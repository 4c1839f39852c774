"""Ejection of bad targets by a node's own observations."""

from typing import Final

from mustardspur_node.calls.endpoints import Endpoint
from mustardspur_node.calls.ramps import RETURN_S, Ramp

MAX_EJECTED_SHARE: Final = 0.5
CONSECUTIVE_FAILURES: Final = 4
_HIGH_ERROR_RATE: Final = 0.5
FIRST_EJECTION_S: Final = 1.0
LONGEST_EJECTION_S: Final = 16.0
# A target without a failure for this long starts again at the shortest time.
_FORGET_S: Final = 30.0


class Ejector:
    """Ejects targets of one version within bounds.

    Explanation
    ===========

    At most half of the targets are ejected and never all. A data centre
    whose targets all fail counts as one failure, and one that still
    answers keeps its own bound, so that the loss of a large data centre
    does not leave calls going there.

    Parameters
    ----------
    endpoints : list of Endpoint
        All targets of the version that this node uses.
    """

    __slots__ = ('_endpoints',)

    def __init__(self, endpoints: list[Endpoint]) -> None:
        """Take over the targets with their state."""
        self._endpoints = endpoints
        for endpoint in endpoints:
            endpoint.ejection.policy = self

    def on_failure(
        self,
        endpoint: Endpoint,
        now: float,
        *,
        unreachable: bool,
    ) -> bool:
        """Eject a target if it has to go and the bound permits it.

        Parameters
        ----------
        endpoint : Endpoint
            The target, after its own counts were updated.
        now : float
            Loop's clock in seconds.
        unreachable : bool
            Whether it did not take the connection.

        Returns
        -------
        bool
            Whether any target was ejected.
        """
        if endpoint.ejection.until:
            return False
        if not unreachable and not _is_bad(endpoint):
            return False
        endpoint.ejection.failing = True
        if self._lost_data_centre(endpoint):
            return self._eject_failing(endpoint.target.data_centre, now)
        if self._counted() + 1 > len(self._endpoints) * MAX_EJECTED_SHARE:
            return False
        eject(endpoint, now)
        return True

    def due(self, now: float) -> list[Endpoint]:
        """Return the ejected targets whose time is over."""
        return [
            endpoint
            for endpoint in self._endpoints
            if endpoint.ejection.until and now >= endpoint.ejection.until
        ]

    def _eject_failing(self, data_centre: str, now: float) -> bool:
        for endpoint in self._endpoints:
            if endpoint.target.data_centre == data_centre:
                if not endpoint.ejection.until:
                    eject(endpoint, now)
        return True

    def _lost_data_centre(self, endpoint: Endpoint) -> bool:
        """Return whether all of a data centre fails and others do not."""
        name = endpoint.target.data_centre
        inside = [one for one in self._endpoints if _is_in(one, name)]
        healthy_elsewhere = any(
            not one.ejection.failing
            for one in self._endpoints
            if not _is_in(one, name)
        )
        return (
            healthy_elsewhere
            and len(inside) > 1
            and all(one.ejection.failing for one in inside)
        )

    def _counted(self) -> int:
        """Return the ejected targets, a lost data centre as one."""
        ejected = [one for one in self._endpoints if one.ejection.until]
        lost = {
            one.target.data_centre
            for one in ejected
            if self._lost_data_centre(one)
        }
        single = [one for one in ejected if one.target.data_centre not in lost]
        return len(single) + len(lost)


def take_back(endpoint: Endpoint, now: float) -> None:
    """Let an ejected target return step by step."""
    endpoint.ejection.until = 0
    endpoint.ejection.failing = False
    endpoint.ramp = Ramp(now, RETURN_S)
    # One more failure is enough to eject it again.
    endpoint.seen.consecutive_failures = CONSECUTIVE_FAILURES - 1
    endpoint.seen.error_rate = 0


def eject(endpoint: Endpoint, now: float) -> None:
    """Take a target out for a time that doubles with each ejection."""
    if now - endpoint.seen.last_failure_at > _FORGET_S:
        endpoint.ejection.count = 0
    duration_s = FIRST_EJECTION_S * 2**endpoint.ejection.count
    if duration_s < LONGEST_EJECTION_S:
        endpoint.ejection.count += 1
    endpoint.ejection.until = now + min(duration_s, LONGEST_EJECTION_S)


def _is_in(endpoint: Endpoint, data_centre: str) -> bool:
    return endpoint.target.data_centre == data_centre


def _is_bad(endpoint: Endpoint) -> bool:
    return (
        endpoint.seen.consecutive_failures >= CONSECUTIVE_FAILURES
        or endpoint.seen.error_rate > _HIGH_ERROR_RATE
    )

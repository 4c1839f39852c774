"""Outlier ejection of failing targets by a node's own observations."""

from typing import Final

from mustardspur_node.calls.endpoints import Endpoint
from mustardspur_node.calls.slow_start import REINSTATED_SLOW_START_S, SlowStart

MAX_EJECTED_SHARE: Final = 0.5
CONSECUTIVE_FAILURES: Final = 4
_HIGH_ERROR_RATE: Final = 0.5
MIN_EJECTION_S: Final = 1.0
MAX_EJECTION_S: Final = 16.0
# After this time without a failure, the next ejection has the minimum time.
_BACKOFF_RESET_S: Final = 30.0


class Ejector:
    """Ejects targets of one version within bounds.

    Explanation
    ===========

    At most half of the targets are ejected, and never all of them. A data
    centre whose targets all fail counts as one target and is ejected whole,
    so that no calls go to a large data centre that is lost. The bound holds
    for the targets of the other data centres.

    Parameters
    ----------
    endpoints : list of Endpoint
        All targets of the version that this node uses.
    """

    __slots__ = ('_endpoints',)

    def __init__(self, endpoints: list[Endpoint]) -> None:
        """Initialise as the ejection policy of the targets."""
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
        """Eject a target if it exceeds a threshold and the bound permits it.

        Parameters
        ----------
        endpoint : Endpoint
            The target, whose observations include the failure.
        now : float
            Time of the event loop in seconds.
        unreachable : bool
            Whether the target did not accept the connection.

        Returns
        -------
        bool
            Whether any target was ejected.
        """
        if endpoint.ejection.until:
            return False
        if not unreachable and not _exceeds_thresholds(endpoint):
            return False
        endpoint.ejection.failing = True
        if self._is_data_centre_lost(endpoint):
            return self._eject_data_centre(endpoint.target.data_centre, now)
        if (
            self._bounded_ejections() + 1
            > len(self._endpoints) * MAX_EJECTED_SHARE
        ):
            return False
        eject(endpoint, now)
        return True

    def due(self, now: float) -> list[Endpoint]:
        """Return the ejected targets whose ejection time has passed."""
        return [
            endpoint
            for endpoint in self._endpoints
            if endpoint.ejection.until and now >= endpoint.ejection.until
        ]

    def _eject_data_centre(self, data_centre: str, now: float) -> bool:
        for endpoint in self._endpoints:
            if endpoint.target.data_centre == data_centre:
                if not endpoint.ejection.until:
                    eject(endpoint, now)
        return True

    def _is_data_centre_lost(self, endpoint: Endpoint) -> bool:
        """Return whether the target's data centre counts as lost.

        All of its targets fail, it has at least two, and a target of another
        data centre does not fail.
        """
        name = endpoint.target.data_centre
        in_data_centre = [
            each for each in self._endpoints if _is_in(each, name)
        ]
        healthy_elsewhere = any(
            not each.ejection.failing
            for each in self._endpoints
            if not _is_in(each, name)
        )
        return (
            healthy_elsewhere
            and len(in_data_centre) > 1
            and all(each.ejection.failing for each in in_data_centre)
        )

    def _bounded_ejections(self) -> int:
        """Return the number of ejections that count towards the bound.

        All targets of a lost data centre count as one.
        """
        ejected = [each for each in self._endpoints if each.ejection.until]
        lost = {
            each.target.data_centre
            for each in ejected
            if self._is_data_centre_lost(each)
        }
        single = [
            each for each in ejected if each.target.data_centre not in lost
        ]
        return len(single) + len(lost)


def reinstate(endpoint: Endpoint, now: float) -> None:
    """End the ejection of a target and begin its slow start."""
    endpoint.ejection.until = 0
    endpoint.ejection.failing = False
    endpoint.slow_start = SlowStart(now, REINSTATED_SLOW_START_S)
    # One more failure is enough to eject it again.
    endpoint.observations.consecutive_failures = CONSECUTIVE_FAILURES - 1
    endpoint.observations.error_rate = 0


def eject(endpoint: Endpoint, now: float) -> None:
    """Eject a target for a time that doubles with each ejection in a row."""
    if now - endpoint.observations.last_failure_at > _BACKOFF_RESET_S:
        endpoint.ejection.count = 0
    duration_s = MIN_EJECTION_S * 2**endpoint.ejection.count
    if duration_s < MAX_EJECTION_S:
        endpoint.ejection.count += 1
    endpoint.ejection.until = now + min(duration_s, MAX_EJECTION_S)


def _is_in(endpoint: Endpoint, data_centre: str) -> bool:
    return endpoint.target.data_centre == data_centre


def _exceeds_thresholds(endpoint: Endpoint) -> bool:
    return (
        endpoint.observations.consecutive_failures >= CONSECUTIVE_FAILURES
        or endpoint.observations.error_rate > _HIGH_ERROR_RATE
    )

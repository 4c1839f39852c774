"""Periodic maintenance: probes, reinstatement, expiry and metrics."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Final

from mustardspur_core.metrics import Metrics
from mustardspur_core.timeline import Timeline
from mustardspur_core.units import MS_PER_S

from mustardspur_node.calls.attempt_tracker import AttemptTracker
from mustardspur_node.calls.ejection import eject, reinstate
from mustardspur_node.calls.endpoints import Endpoint
from mustardspur_node.calls.idempotency import IdempotencyStore
from mustardspur_node.calls.probes import is_reachable
from mustardspur_node.calls.services import ServiceDirectory

INTERVAL_S: Final = 0.05
_RUNS_PER_FLUSH: Final = 20
# A connection counts as silent after this multiple of the target's average
# latency, but not before the minimum, below which probes cost too much.
_SILENCE_FACTOR: Final = 8.0
_MIN_SILENCE_S: Final = 0.25
_PROBE_PAUSE_S: Final = 1.0


class Maintenance:
    """Probes silent connections and reinstates ejected targets.

    Parameters
    ----------
    directory : ServiceDirectory
        Services that the node calls.
    tracker : AttemptTracker
        Ejects targets and has the counters of the node.
    idempotency_store : IdempotencyStore
        Store whose records are expired.
    metrics : Metrics
        Receives the counters once a second.
    timeline : Timeline
        Receives rare events.
    """

    __slots__ = (
        '_directory',
        '_idempotency_store',
        '_metrics',
        '_probes',
        '_timeline',
        '_tracker',
    )

    def __init__(
        self,
        directory: ServiceDirectory,
        tracker: AttemptTracker,
        idempotency_store: IdempotencyStore,
        metrics: Metrics,
        timeline: Timeline,
    ) -> None:
        """Initialise without probes."""
        self._directory = directory
        self._tracker = tracker
        self._idempotency_store = idempotency_store
        self._metrics = metrics
        self._timeline = timeline
        self._probes: dict[Endpoint, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Run the maintenance periodically until cancelled."""
        loop = asyncio.get_running_loop()
        runs_since_start = 0
        while True:
            await asyncio.sleep(INTERVAL_S)
            runs_since_start += 1
            await self.run_once(loop.time())
            if runs_since_start % _RUNS_PER_FLUSH == 0:
                self._tracker.counters.flush(self._metrics)
                self._idempotency_store.expire()

    async def run_once(self, now: float) -> None:
        """Check every target once and dispatch queued calls.

        Parameters
        ----------
        now : float
            Time of the event loop in seconds.
        """
        services = self._directory.services
        await asyncio.gather(*(one.close_drained() for one in services))
        for service in services:
            service.table()
            for pool in service.pools:
                for endpoint in pool.ejector.due(now):
                    self._start_probe(endpoint, self._probe_ejected)
            for endpoint in service.endpoints:
                if is_silent(endpoint, now):
                    self._start_probe(endpoint, self._probe_silent)
            if service.queue.length:
                service.queue.dispatch()

    async def close(self) -> None:
        """Cancel all probes."""
        probes = list(self._probes.values())
        for probe in probes:
            probe.cancel()
        await asyncio.gather(*probes, return_exceptions=True)

    def _start_probe(
        self,
        endpoint: Endpoint,
        work: Callable[[Endpoint], Coroutine[None, None, None]],
    ) -> None:
        if endpoint in self._probes:
            return
        task = asyncio.create_task(work(endpoint))
        self._probes[endpoint] = task
        task.add_done_callback(lambda done: self._probes.pop(endpoint, None))

    async def _probe_ejected(self, endpoint: Endpoint) -> None:
        reachable = await is_reachable(endpoint)
        now = asyncio.get_running_loop().time()
        if reachable:
            reinstate(endpoint, now)
            self._timeline.record('target_returns', target=endpoint.target.id)
        else:
            eject(endpoint, now)

    async def _probe_silent(self, endpoint: Endpoint) -> None:
        loop = asyncio.get_running_loop()
        suspected_at = loop.time()
        reachable = await is_reachable(endpoint)
        endpoint.next_probe_at = loop.time() + _PROBE_PAUSE_S
        if not reachable:
            endpoint.observations.record_failure(loop.time())
            self._tracker.eject(endpoint, unreachable=True)
            return
        endpoint.channel.replace_pool()
        limit_at = suspected_at - silence_timeout_s(endpoint)
        for pending in endpoint.pending.sent_before(limit_at):
            if pending.retryable:
                pending.abort()
                self._tracker.counters.add('moved_on')


def silence_timeout_s(endpoint: Endpoint) -> float:
    """Return the time in seconds after which a connection is silent."""
    usual_s = endpoint.observations.latency_ms / MS_PER_S
    return max(usual_s * _SILENCE_FACTOR, _MIN_SILENCE_S)


def is_silent(endpoint: Endpoint, now: float) -> bool:
    """Return whether the oldest pending call exceeds the silence timeout."""
    sent_at = endpoint.pending.oldest_sent_at()
    if sent_at is None or now < endpoint.next_probe_at:
        return False
    return now - sent_at > silence_timeout_s(endpoint)

"""Periodic work beside the path of calls."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Final

from mustardspur_core.metrics import Metrics
from mustardspur_core.timeline import Timeline
from mustardspur_core.units import MS_PER_S

from mustardspur_node.calls.accounts import Accounts
from mustardspur_node.calls.ejection import eject, take_back
from mustardspur_node.calls.endpoints import Endpoint
from mustardspur_node.calls.idempotency import KeyedAnswers
from mustardspur_node.calls.probes import answers_probe
from mustardspur_node.calls.services import ServiceDirectory

ROUND_S: Final = 0.05
_ROUNDS_PER_FLUSH: Final = 20
# A connection is suspected after this multiple of the target's latency, and
# never before the lowest bound, at which a probe would cost too much.
_SILENCE_FACTOR: Final = 8.0
_LOWEST_SILENCE_S: Final = 0.25
_PROBE_PAUSE_S: Final = 1.0


class Upkeep:
    """Looks for silent connections and lets ejected targets return.

    Parameters
    ----------
    directory : ServiceDirectory
        Services that the node calls.
    accounts : Accounts
        Ejections and counters.
    keyed : KeyedAnswers
        Answers to forget in time.
    metrics : Metrics
        Takes the counters once a second.
    timeline : Timeline
        Takes rare events.
    """

    __slots__ = (
        '_accounts',
        '_keyed',
        '_metrics',
        '_probes',
        '_directory',
        '_timeline',
    )

    def __init__(
        self,
        directory: ServiceDirectory,
        accounts: Accounts,
        keyed: KeyedAnswers,
        metrics: Metrics,
        timeline: Timeline,
    ) -> None:
        """Start without probes."""
        self._directory = directory
        self._accounts = accounts
        self._keyed = keyed
        self._metrics = metrics
        self._timeline = timeline
        self._probes: dict[Endpoint, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Work until cancelled."""
        loop = asyncio.get_running_loop()
        rounds = 0
        while True:
            await asyncio.sleep(ROUND_S)
            rounds += 1
            await self.round(loop.time())
            if rounds % _ROUNDS_PER_FLUSH == 0:
                self._accounts.counters.flush(self._metrics)
                self._keyed.expire()

    async def round(self, now: float) -> None:
        """Look at every target once."""
        services = self._directory.services
        await asyncio.gather(*(one.close_left() for one in services))
        for service in services:
            service.table()
            for pool in service.pools:
                for endpoint in pool.ejector.due(now):
                    self._start(endpoint, self._return)
            for endpoint in service.endpoints:
                if is_silent(endpoint, now):
                    self._start(endpoint, self._check_silence)
            if service.queue.length:
                service.queue.dispatch()

    async def close(self) -> None:
        """End all probes."""
        probes = list(self._probes.values())
        for probe in probes:
            probe.cancel()
        await asyncio.gather(*probes, return_exceptions=True)

    def _start(
        self,
        endpoint: Endpoint,
        work: Callable[[Endpoint], Coroutine[None, None, None]],
    ) -> None:
        if endpoint in self._probes:
            return
        task = asyncio.create_task(work(endpoint))
        self._probes[endpoint] = task
        task.add_done_callback(lambda done: self._probes.pop(endpoint, None))

    async def _return(self, endpoint: Endpoint) -> None:
        answers = await answers_probe(endpoint)
        now = asyncio.get_running_loop().time()
        if answers:
            take_back(endpoint, now)
            self._timeline.record('target_returns', target=endpoint.target.id)
        else:
            eject(endpoint, now)

    async def _check_silence(self, endpoint: Endpoint) -> None:
        loop = asyncio.get_running_loop()
        suspected_at = loop.time()
        answers = await answers_probe(endpoint)
        endpoint.next_probe_at = loop.time() + _PROBE_PAUSE_S
        if not answers:
            endpoint.seen.failure(loop.time())
            self._accounts.eject(endpoint, unreachable=True)
            return
        endpoint.channel.renew()
        limit_at = suspected_at - silence_bound_s(endpoint)
        for waiting in endpoint.waiting.sent_before(limit_at):
            if waiting.movable:
                waiting.abandon()
                self._accounts.counters.add('moved_on')


def silence_bound_s(endpoint: Endpoint) -> float:
    """Return after what time without an answer a connection is suspected."""
    usual_s = endpoint.seen.latency_ms / MS_PER_S
    return max(usual_s * _SILENCE_FACTOR, _LOWEST_SILENCE_S)


def is_silent(endpoint: Endpoint, now: float) -> bool:
    """Return whether a call waits for suspiciously long."""
    sent_at = endpoint.waiting.oldest_sent_at()
    if sent_at is None or now < endpoint.next_probe_at:
        return False
    return now - sent_at > silence_bound_s(endpoint)

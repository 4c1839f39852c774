"""The planned stop of a node."""

import asyncio
import logging
from collections.abc import Iterable
from typing import Final

from mustardspur_core import listening
from mustardspur_core.http_serving import StopListening
from mustardspur_core.suspension import suspended_s

from mustardspur_node.mesh.caller_server import BACKLOG, CallerServer
from mustardspur_node.mesh.local_target import LocalTarget
from mustardspur_node.mesh.peer_server import PeerServer
from mustardspur_node.mesh.placing import Placer
from mustardspur_node.mesh.stop_times import StopTimes, clock_s

_LOG: Final = logging.getLogger(__name__)

CHECK_INTERVAL_S: Final = 0.2
# Iterations of the event loop within which an answer that has arrived is read
# and written; on a busy instance a time could pass without one.
MAX_FLUSH_ITERATIONS: Final = 100
# Connections of callers and of other nodes that wait in the backlogs at most.
_MAX_WAITING: Final = BACKLOG + listening.BACKLOG
# Time for the last answers and refusals to be written before the exit.
FLUSH_S: Final = 0.05


class Drain:
    """Ends the use of a node within the grace time.

    Parameters
    ----------
    callers : CallerServer
        Connections and calls of callers.
    peers : PeerServer
        Calls of other nodes.
    local : LocalTarget
        The target on the instance of the node.
    placer : Placer
        Places the calls of callers on targets.
    stops_listening : iterable of callable
        End the use of the other addresses of the node.
    """

    __slots__ = ('_callers', '_local', '_peers', '_placer', '_stops_listening')

    def __init__(
        self,
        callers: CallerServer,
        peers: PeerServer,
        local: LocalTarget,
        placer: Placer,
        stops_listening: Iterable[StopListening] = (),
    ) -> None:
        """Initialise the drain of a node that serves."""
        self._callers = callers
        self._peers = peers
        self._local = local
        self._placer = placer
        self._stops_listening = tuple(stops_listening)

    async def run(self, times: StopTimes) -> None:
        """Wait for callers and calls in flight to end, within the grace time.

        Explanation
        ===========

        The node still serves callers for some time, until their readiness
        checks have failed. It then accepts no calls of other nodes, and no new
        connections once its target is idle, since that may make calls of its
        own before. From then on it listens on none of its addresses, so that
        the next process can start there. It waits until no connection or call
        is open. Callers that went on to connect until the end would be cut off
        there, and so would a call that is sent to a target late in the grace
        time: it is refused unless its deadline comes first.
        """
        self._callers.draining = True
        # The target of a silent node may be at work, and a call that is placed
        # elsewhere may be refused there.
        self._placer.links.keeps_waits = True
        self._refuse_late_calls(times)
        while not self._has_ended(times):
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self._receive_arrived()
            self._refuse_late_calls(times)
        self._placer.end_unsent()
        await self._deliver_answers()
        self._placer.end_unsent(includes_sent=True)
        await self._deliver_answers()
        _LOG.info(
            'drained',
            extra={
                'calls_left': self._callers.in_flight,
                'calls_of_nodes_left': self._peers.running,
                'after_s': round(times.elapsed_s(), 1),
                'signal_delayed_s': round(times.delayed_s, 1),
            },
        )

    async def _deliver_answers(self) -> None:
        """Read and write the answers that are ready.

        After a pause, the event loop runs this before it reads any of them.
        """
        iterations = MAX_FLUSH_ITERATIONS
        while self._callers.in_flight and iterations:
            iterations -= 1
            await asyncio.sleep(0)
        await asyncio.sleep(FLUSH_S)

    async def _receive_arrived(self) -> None:
        """Accept and read what arrived while the process did not run.

        Closing the listening socket resets the connections that wait in its
        backlog, of which the event loop accepts one in each iteration. Those
        that connect meanwhile are not waited for, since they may never end.
        """
        before = -1
        accepted = self._accepted
        most = accepted + _MAX_WAITING
        while before != accepted and accepted < most:
            before = accepted
            await asyncio.sleep(0)
            accepted = self._accepted

    @property
    def _accepted(self) -> int:
        return self._callers.accepted + self._peers.accepted

    def _stop_listening(self) -> None:
        # Their calls would be refused; the target reports to other nodes.
        self._peers.stop_listening()
        for stop_listening in self._stops_listening:
            stop_listening()
        # The last one, since the next process tries it first.
        self._callers.stop_listening()

    def _has_ended(self, times: StopTimes) -> bool:
        """Close what is not in use; return whether the process may end."""
        now_s = clock_s()
        if now_s < times.listening_until_s:
            return False
        admission = self._local.admission
        admission.close()
        self._callers.drain_connections()
        if now_s < times.unsent_until_s and admission.capacity.running:
            # The target may make calls of its own before it answers.
            return False
        self._stop_listening()
        connections = self._callers.open_connections
        if now_s >= times.unsent_until_s:
            connections = self._callers.unanswered_connections
        is_used = connections or self._peers.running
        return not is_used or now_s >= times.end_s

    def _refuse_late_calls(self, times: StopTimes) -> None:
        """Refuse the calls that the end of the process would cut off."""
        now_s = clock_s()
        if now_s >= times.late_from_s:
            self._placer.refuse_after(times.runs_until_s - suspended_s())
        if now_s >= times.unsent_until_s:
            self._placer.end_unsent()

"""Calls to another node over the streams to it."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from mustardspur_core.mesh.call_messages import CallOpen
from mustardspur_core.settings import Settings

from mustardspur_node.mesh.calls import TargetAnswer
from mustardspur_node.mesh.outgoing_bodies import Uplink
from mustardspur_node.mesh.peer_connection import LoadCallback, PeerConnection

_LOG: Final = logging.getLogger(__name__)


class PeerCallLink:
    """Sends calls to the local target of another node.

    Explanation
    ===========

    One stream carries the calls. If it falls silent, a new one carries
    further calls: an open connection can stop delivering while new ones work.
    The silent one stays open for the calls that only its answer can end.

    Parameters
    ----------
    node : str
        ``ip:port`` of the other node's stream.
    settings : Settings
        Settings of this node.
    on_load : callable
        Called with the node and the load of its target on each report.
    uplink : Uplink or None
        Paces large bodies; None for an unlimited link.
    """

    __slots__ = (
        '_current',
        '_node',
        '_on_load',
        '_settings',
        '_silent',
        '_uplink',
    )

    def __init__(
        self,
        node: str,
        settings: Settings,
        on_load: LoadCallback,
        uplink: Uplink | None = None,
    ) -> None:
        """Initialise the link without a stream."""
        self._uplink = uplink or Uplink(0)
        self._node = node
        self._settings = settings
        self._on_load = on_load
        self._current: PeerConnection | None = None
        self._silent: list[PeerConnection] = []

    @property
    def is_unused(self) -> bool:
        """Whether the link has no stream."""
        return self._current is None and not self._silent

    async def run(
        self,
        call: CallOpen,
        on_may_run: Callable[[], None],
    ) -> TargetAnswer:
        """Run a call at the other node's target and return the answer.

        Parameters
        ----------
        call : CallOpen
            The call.
        on_may_run : callable
            Called once the target may run the call.

        Raises
        ------
        PlacementFault
            If the target gives no usable answer.
        """
        if self._current is None or self._current.has_ended:
            self._current = PeerConnection(
                self._node,
                self._settings,
                self._on_load,
                self._uplink,
            )
        return await self._current.run(call, on_may_run)

    def check(self, *, keeps_waits: bool = False) -> None:
        """Close unused streams, and replace the current one if silent.

        Parameters
        ----------
        keeps_waits : bool
            Whether all calls that may have run wait for the answers of a
            silent stream.
        """
        current = self._current
        if current is not None:
            if current.has_ended or current.is_idle:
                current.close('stream is idle')
                self._current = None
            elif current.is_silent:
                self._set_aside(current, keeps_waits=keeps_waits)
        for silent in self._silent:
            if not silent.calls_in_flight:
                silent.close('node is silent')
        self._silent = [each for each in self._silent if each.calls_in_flight]

    def restart_silence(self) -> None:
        """Count the silence of the other node from now on."""
        if self._current is not None:
            self._current.last_received_s = asyncio.get_running_loop().time()

    def close(self) -> None:
        """Close the streams and fail the calls in flight."""
        for connection in (self._current, *self._silent):
            if connection is not None:
                connection.close('node stops')
        self._current = None
        self._silent = []

    def _set_aside(
        self,
        connection: PeerConnection,
        *,
        keeps_waits: bool,
    ) -> None:
        connection.end_waits('node is silent', keeps_runs=keeps_waits)
        _LOG.warning(
            'node is silent',
            extra={
                'node': self._node,
                'calls_waiting': connection.calls_in_flight,
            },
        )
        self._silent.append(connection)
        self._current = None

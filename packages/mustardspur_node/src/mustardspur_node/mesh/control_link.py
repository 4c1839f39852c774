"""The node's stream to a control instance."""

import asyncio
import logging
from typing import Final

from mustardspur_core.mesh.control_messages import (
    MeshAnnounce,
    MeshBeat,
    MeshEvidence,
    MeshHello,
    MeshTable,
    MeshTargets,
    MeshTransfers,
)
from mustardspur_core.record import Record
from mustardspur_core.settings import MeshSettings, Settings
from mustardspur_core.tasks import run_until_first_end
from mustardspur_core.wire import (
    MessageDispatcher,
    FrameStream,
    MalformedFrame,
    connect_stream,
    raise_on_silence,
)

from mustardspur_node.mesh.chooser import TargetChooser
from mustardspur_node.mesh.control_choice import ControlChoice
from mustardspur_node.mesh.local_target import LocalTarget
from mustardspur_node.mesh.own_row import OwnRow
from mustardspur_node.mesh.view import MeshView

_LOG: Final = logging.getLogger(__name__)

CONNECT_TIMEOUT_S: Final = 0.6
RETRY_S: Final = 0.2
# An instance that was not reached has cost a time-out already.
FAILED_RETRY_S: Final = 0.05
# A control instance without a leader is left after this many of its beats.
STALE_BEATS: Final = 3
# A node without a table takes one that no quorum confirms after this time.
UNCONFIRMED_S: Final = 2.0
# A node goes back to the nearest control instance after this time.
RETURN_S: Final = 15.0
EVIDENCE_S: Final = 0.4
_LINK_ERRORS: Final = (
    OSError,
    EOFError,
    TimeoutError,
    MalformedFrame,
    ValueError,
)
_FROM_CONTROL: Final = MessageDispatcher('a control instance')


class Stale(ConnectionError):
    """The control instance follows no leader."""


class ControlLink:
    """Keeps a stream to the nearest control instance that is current.

    Parameters
    ----------
    settings : Settings
        Settings of this node.
    mesh : MeshSettings
        Their part for a mesh.
    view : MeshView
        Takes what the stream brings.
    local : LocalTarget
        The target that is announced.
    chooser : TargetChooser
        Learns which targets are new.
    """

    __slots__ = (
        '_chooser',
        '_controls',
        '_failures',
        '_local',
        '_settings',
        '_stale_beats',
        '_started_s',
        '_view',
        'attached',
        'own_row',
        'row_changed',
    )

    def __init__(
        self,
        settings: Settings,
        mesh: MeshSettings,
        view: MeshView,
        local: LocalTarget,
        chooser: TargetChooser,
    ) -> None:
        """Start with the seeds."""
        self._settings = settings
        self._view = view
        self._local = local
        self._chooser = chooser
        self._controls = ControlChoice(settings, mesh)
        self._failures = 0
        self._stale_beats = 0
        self._started_s = _now()
        self.attached = ''
        self.own_row = OwnRow(settings, local.book)
        self.row_changed = asyncio.Event()

    async def run(self) -> None:
        """Keep a stream until cancelled."""
        while True:
            # An instance that fails is ranked behind the others.
            await self._try(self._controls.ranked()[0])
            wait_s = RETRY_S if self.attached else FAILED_RETRY_S
            self.attached = ''
            await asyncio.sleep(wait_s)

    async def _try(self, stream_address: str) -> None:
        try:
            async with connect_stream(
                stream_address,
                CONNECT_TIMEOUT_S,
            ) as stream:
                self._stale_beats = 0
                await run_until_first_end(
                    self._receive(stream, stream_address),
                    self._send(stream),
                    self._send_evidence(stream),
                    raise_on_silence(
                        stream,
                        self._settings.intervals.silence_s,
                    ),
                    self._return_to_nearest(stream_address),
                )
        except _LINK_ERRORS as error:
            self._controls.note_failure(stream_address)
            self._log_failure(stream_address, error)

    def _log_failure(self, address: str, error: Exception) -> None:
        """Log a loss and the first failed attempt after it."""
        if not self.attached:
            self._failures += 1
        level = logging.DEBUG if self._failures > 1 else logging.INFO
        _LOG.log(
            level,
            'control instance lost',
            extra={
                'control': address,
                'was_attached': bool(self.attached),
                'reason': repr(error),
            },
        )

    async def _receive(self, stream: FrameStream, address: str) -> None:
        stream.enqueue(
            MeshHello(
                node=self._settings.listen.stream or '',
                data_centre=self._settings.data_centre,
                region=self._settings.region,
                held_index=self._view.table_index,
            ),
        )
        while True:
            body = (await stream.receive()).body
            if not self.attached:
                self.attached = address
                _LOG.info(
                    'attached',
                    extra={
                        'control': address,
                        'failed_attempts': self._failures,
                    },
                )
                self._failures = 0
            self._take(body)

    def _take(self, body: Record) -> None:
        _FROM_CONTROL.handler_of(body)(self, body)

    @_FROM_CONTROL.handles(MeshBeat)
    def _take_beat(self, beat: MeshBeat) -> None:
        self._controls.learn(beat.controls)
        self._stale_beats = 0 if beat.current else self._stale_beats + 1
        if self._stale_beats >= STALE_BEATS:
            raise Stale('the control instance follows no leader')

    @_FROM_CONTROL.handles(MeshTable)
    def _take_table(self, update: MeshTable) -> None:
        wait_s = self._started_s + UNCONFIRMED_S - _now()
        if update.confirmed or self._view.table_index or wait_s <= 0:
            self._view.take_table(update.delta)
        else:
            # A confirmed table that comes before then has at least its index.
            asyncio.get_running_loop().call_later(
                wait_s,
                self._view.take_table,
                update.delta,
            )

    @_FROM_CONTROL.handles(MeshTransfers)
    def _take_transfers(self, update: MeshTransfers) -> None:
        for service in self._view.take_transfers(update):
            self._local.tally.reset(service)

    @_FROM_CONTROL.handles(MeshTargets)
    def _take_targets(self, update: MeshTargets) -> None:
        self._chooser.note_rows(update.upserts)
        self._view.take_targets(update)

    async def _send(self, stream: FrameStream) -> None:
        while True:
            self.row_changed.clear()
            stream.enqueue(MeshAnnounce(target=self.own_row.next()))
            await stream.drain()
            await self._wait(stream)

    async def _wait(self, stream: FrameStream) -> None:
        while not self.row_changed.is_set():
            try:
                async with asyncio.timeout(
                    self._settings.intervals.heartbeat_s,
                ):
                    await self.row_changed.wait()
            except TimeoutError:
                stream.enqueue(MeshBeat(current=True, controls=[]))

    async def _send_evidence(self, stream: FrameStream) -> None:
        while True:
            await asyncio.sleep(EVIDENCE_S)
            tally = self._local.tally
            if tally.changed and self._view.runs_transfer:
                tally.changed = False
                stream.enqueue(
                    MeshEvidence(
                        node=self._settings.listen.stream or '',
                        incarnation=self.own_row.incarnation,
                        rows=tally.rows,
                    ),
                )

    async def _return_to_nearest(self, address: str) -> None:
        """End the stream once a nearer control instance seems to be back."""
        while True:
            await asyncio.sleep(RETURN_S)
            nearer = self._controls.nearer(address)
            if nearer is not None:
                raise Stale(f'{nearer} is nearer')


def _now() -> float:
    return asyncio.get_running_loop().time()

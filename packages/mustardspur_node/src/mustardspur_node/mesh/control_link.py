"""Stream from the node to a control instance."""

import asyncio
import logging
from typing import Final

from mustardspur_core.mesh.control_messages import (
    ACCEPTS_ALLOWANCES,
    ACCEPTS_ROLLED_BACK,
    AllowanceGrant,
    MeshAnnounce,
    MeshBlocks,
    MeshHeartbeat,
    MeshPackedTable,
    MeshSubscribe,
    MeshTable,
    MeshTargets,
    MeshTransfers,
)
from mustardspur_core.mesh.packing import unpack_delta
from mustardspur_core.settings import MeshSettings, Settings
from mustardspur_core.tasks import run_periodically, run_until_first_end
from mustardspur_core.texts import describe_error
from mustardspur_core.wire import (
    FrameStream,
    MalformedFrame,
    MessageDispatcher,
    connect_stream,
    raise_on_silence,
)

from mustardspur_node.mesh.allowances import NodeAllowances
from mustardspur_node.mesh.chooser import TargetChooser
from mustardspur_node.mesh.control_ranking import ControlRanking
from mustardspur_node.mesh.local_target import LocalTarget
from mustardspur_node.mesh.node_announcement import NodeAnnouncement
from mustardspur_node.mesh.node_reports import NodeReports
from mustardspur_node.mesh.view import MeshView

_LOG: Final = logging.getLogger(__name__)

CONNECT_TIMEOUT_S: Final = 0.6
RETRY_S: Final = 0.2
# Shorter, since a failed connection attempt may already have timed out.
FAILED_RETRY_S: Final = 0.05
# The stream is closed after this many heartbeats of a control instance
# without a leader.
MAX_STALE_HEARTBEATS: Final = 3
# A node without a table applies one that no quorum confirmed after this time.
UNCONFIRMED_DELAY_S: Final = 2.0
# Interval of the checks whether a nearer control instance is available.
NEARER_CHECK_S: Final = 15.0
_LINK_ERRORS: Final = (
    OSError,
    EOFError,
    TimeoutError,
    MalformedFrame,
    ValueError,
)
_FROM_CONTROL: Final = MessageDispatcher('a control instance')


class StreamAbandoned(ConnectionError):
    """The control instance has no leader or another one is preferred."""


class NearerInstanceKnown(StreamAbandoned):
    """A nearer control instance is available."""


class MeshControlLink:
    """Maintains a stream to the nearest current control instance.

    Parameters
    ----------
    settings : Settings
        Settings of this node.
    mesh : MeshSettings
        Mesh section of the settings.
    view : MeshView
        Receives tables, transfers and targets.
    local : LocalTarget
        The target that is announced.
    chooser : TargetChooser
        Is notified of targets, to detect newly started ones.
    allowances : NodeAllowances
        Limits whose tokens the control instance grants.
    """

    __slots__ = (
        '_allowances',
        '_chooser',
        '_failures',
        '_local',
        '_ranking',
        '_reports',
        '_settings',
        '_stale_heartbeats',
        '_started_s',
        '_view',
        'announcement',
        'announcement_changed',
        'attached',
    )

    def __init__(
        self,
        settings: Settings,
        mesh: MeshSettings,
        view: MeshView,
        local: LocalTarget,
        chooser: TargetChooser,
        allowances: NodeAllowances,
    ) -> None:
        """Initialise the link without a stream."""
        self._allowances = allowances
        self._settings = settings
        self._view = view
        self._local = local
        self._chooser = chooser
        self._ranking = ControlRanking(settings, mesh)
        self._failures = 0
        self._stale_heartbeats = 0
        self._started_s = _now()
        self.attached = ''
        self.announcement = NodeAnnouncement(settings, local.reports)
        self._reports = NodeReports(settings, self.announcement, view, local)
        self.announcement_changed = asyncio.Event()

    async def run(self) -> None:
        """Maintain a stream until cancelled."""
        while True:
            # An instance that fails is ranked behind the others.
            address = self._ranking.ranked()[0]
            await self._run_stream(address)
            wait_s = RETRY_S if self.attached else FAILED_RETRY_S
            if self._ranking.nearer(address):
                wait_s = 0
            self.attached = ''
            await asyncio.sleep(wait_s)

    async def _run_stream(self, stream_address: str) -> None:
        try:
            async with connect_stream(
                stream_address,
                CONNECT_TIMEOUT_S,
            ) as stream:
                self._stale_heartbeats = 0
                await run_until_first_end(
                    self._receive(stream, stream_address),
                    self._send(stream),
                    self._reports.send_evidence(stream),
                    self._reports.send_crashes(stream),
                    raise_on_silence(
                        stream,
                        self._settings.intervals.silence_s,
                    ),
                    run_periodically(
                        NEARER_CHECK_S,
                        self._move_if_nearer_known,
                    ),
                )
        except NearerInstanceKnown as moved:
            _LOG.info('moving to a nearer instance', extra={'to': str(moved)})
        except _LINK_ERRORS as error:
            self._ranking.record_failure(stream_address)
            if not self.attached:
                self._failures += 1
            _log_lost(stream_address, error, self._failures, self.attached)
        finally:
            self._allowances.detach()

    async def _receive(self, stream: FrameStream, address: str) -> None:
        stream.enqueue(
            MeshSubscribe(
                node=self._settings.listen.stream or '',
                data_centre=self._settings.data_centre,
                region=self._settings.region,
                table_index=self._view.table_index,
            ),
            ACCEPTS_ROLLED_BACK,
        )
        while True:
            frame = await stream.receive()
            if frame.request_id == ACCEPTS_ALLOWANCES:
                self._allowances.attach(stream)
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
            handle = _FROM_CONTROL.handler_of(frame.body)
            handle(self, frame.body)

    @_FROM_CONTROL.handles(MeshHeartbeat)
    def _apply_heartbeat(self, heartbeat: MeshHeartbeat) -> None:
        if heartbeat.controls:
            self._ranking.update(heartbeat.controls)
            self._move_if_nearer_known()
        self._stale_heartbeats = (
            0 if heartbeat.current else self._stale_heartbeats + 1
        )
        if self._stale_heartbeats >= MAX_STALE_HEARTBEATS:
            raise StreamAbandoned('the control instance has no leader')

    def _move_if_nearer_known(self) -> None:
        """End the stream if a nearer control instance is available.

        A node starts with the seeds, which may be far; it moves before the
        table and the targets are sent to it over that distance.
        """
        nearer = self._ranking.nearer(self.attached)
        if nearer is not None:
            raise NearerInstanceKnown(nearer)

    @_FROM_CONTROL.handles(MeshTable)
    def _apply_table(self, update: MeshTable) -> None:
        wait_s = self._started_s + UNCONFIRMED_DELAY_S - _now()
        if not update.confirmed and _needs_confirmation(update, self._view):
            _LOG.warning(
                'waiting for a confirmed table',
                extra={'index': update.delta.index},
            )
        elif update.confirmed or self._view.table_index or wait_s <= 0:
            self._view.apply_table(update.delta)
        else:
            # A confirmed table received earlier has at least the same index, so
            # that this one is ignored.
            asyncio.get_running_loop().call_later(
                wait_s,
                self._view.apply_table,
                update.delta,
            )

    @_FROM_CONTROL.handles(MeshPackedTable)
    def _apply_packed_table(self, update: MeshPackedTable) -> None:
        self._apply_table(
            MeshTable(
                delta=unpack_delta(update.packed),
                confirmed=update.confirmed,
            ),
        )

    @_FROM_CONTROL.handles(MeshTransfers)
    def _apply_transfers(self, update: MeshTransfers) -> None:
        for service in self._view.apply_transfers(update):
            self._local.runs.evidence.reset(service)

    @_FROM_CONTROL.handles(MeshTargets)
    def _apply_targets(self, update: MeshTargets) -> None:
        if self.announcement.outrank(update.upserts):
            self.announcement_changed.set()
        self._chooser.cold.record(update.upserts)
        self._view.apply_targets(update)

    @_FROM_CONTROL.handles(MeshBlocks)
    def _apply_blocks(self, update: MeshBlocks) -> None:
        self._local.blocked.apply(update)
        self._local.runs.crashes.record_lift(update.lifted_index)

    @_FROM_CONTROL.handles(AllowanceGrant)
    def _apply_grant(self, grant: AllowanceGrant) -> None:
        self._allowances.apply(grant)

    async def _send(self, stream: FrameStream) -> None:
        while True:
            self.announcement_changed.clear()
            stream.enqueue(MeshAnnounce(target=self.announcement.next()))
            await stream.drain()
            await self._send_heartbeats_until_change(stream)

    async def _send_heartbeats_until_change(self, stream: FrameStream) -> None:
        while not self.announcement_changed.is_set():
            try:
                async with asyncio.timeout(
                    self._settings.intervals.heartbeat_s,
                ):
                    await self.announcement_changed.wait()
            except TimeoutError:
                stream.enqueue(MeshHeartbeat(current=True, controls=[]))


def _now() -> float:
    return asyncio.get_running_loop().time()


def _needs_confirmation(update: MeshTable, view: MeshView) -> bool:
    """Return whether a table is put in force only once it is confirmed.

    An older table may contain a key that has been withdrawn, which a node that
    restarts must not accept again.
    """
    return not view.table_index and bool(update.delta.accounts)


def _log_lost(
    address: str,
    error: Exception,
    failures: int,
    attached: str,
) -> None:
    """Log a lost stream or failed attempt; at INFO for the first one."""
    level = logging.DEBUG if failures > 1 else logging.INFO
    _LOG.log(
        level,
        'control instance lost',
        extra={
            'control': address,
            'was_attached': bool(attached),
            'reason': describe_error(error),
        },
    )

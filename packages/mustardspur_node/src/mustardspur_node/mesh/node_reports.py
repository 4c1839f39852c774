"""What a node sends to its control instance beside its announcements."""

import asyncio
from typing import Final

from mustardspur_core.mesh.control_messages import MeshCrash, MeshEvidence
from mustardspur_core.settings import Settings
from mustardspur_core.wire import FrameStream

from mustardspur_node.mesh.crashes import Crash
from mustardspur_node.mesh.local_target import LocalTarget
from mustardspur_node.mesh.node_announcement import NodeAnnouncement
from mustardspur_node.mesh.view import MeshView

EVIDENCE_INTERVAL_S: Final = 0.25


class NodeReports:
    """Sends the evidence on transfers and the crashes of the target.

    Parameters
    ----------
    settings : Settings
        Settings of this node.
    announcement : NodeAnnouncement
        Announcement with the incarnation of the node.
    view : MeshView
        View with the running transfers.
    local : LocalTarget
        The local target.
    """

    __slots__ = ('_announcement', '_crashed', '_local', '_node', '_view')

    def __init__(
        self,
        settings: Settings,
        announcement: NodeAnnouncement,
        view: MeshView,
        local: LocalTarget,
    ) -> None:
        """Initialise with nothing sent."""
        self._node = settings.listen.stream or ''
        self._announcement = announcement
        self._view = view
        self._local = local
        self._crashed = asyncio.Event()
        local.runs.crashes.on_crash = self._crashed.set

    async def send_evidence(self, stream: FrameStream) -> None:
        """Send counts that changed during a transfer, until cancelled."""
        evidence = self._local.runs.evidence
        while True:
            await asyncio.sleep(EVIDENCE_INTERVAL_S)
            if evidence.changed and self._view.has_running_transfer:
                evidence.changed = False
                stream.enqueue(
                    MeshEvidence(
                        node=self._node,
                        incarnation=self._announcement.incarnation,
                        rows=evidence.rows,
                    ),
                )

    async def send_crashes(self, stream: FrameStream) -> None:
        """Send all remembered crashes once, and new ones until cancelled.

        A report can be lost with its stream, so all are sent again on a new
        one; the receiver counts each crash once.
        """
        sent = 0
        while True:
            self._crashed.clear()
            for crash in list(self._local.runs.crashes.crashes):
                if crash.number > sent:
                    stream.enqueue(self._message(crash))
                    sent = crash.number
            await self._crashed.wait()

    def _message(self, crash: Crash) -> MeshCrash:
        return MeshCrash(
            node=self._node,
            incarnation=self._announcement.incarnation,
            number=crash.number,
            fingerprints=crash.fingerprints,
            age_s=asyncio.get_running_loop().time() - crash.at_s,
            lifted_index=crash.lifted_index,
        )

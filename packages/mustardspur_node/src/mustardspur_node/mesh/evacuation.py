"""Withdrawal and readmission of the local target with its data centre."""

import asyncio
import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

from mustardspur_core.tasks import supervised

from mustardspur_node.mesh.confirmation import confirm_target
from mustardspur_node.mesh.local_target import LocalTarget
from mustardspur_node.mesh.view import MeshView

_LOG: Final = logging.getLogger(__name__)


class TargetEvacuation:
    """Withdraws the local target while its data centre is evacuated.

    Explanation
    ===========

    The target receives calls once the evacuations in force are known, its
    data centre is not among them and `confirm_target` has confirmed it. After
    each readmission it is confirmed again, since it may be cold without a
    report that says so.

    Parameters
    ----------
    data_centre : str
        Data centre of the node.
    local : LocalTarget
        The local target of the node.
    view : MeshView
        View with the evacuations in force.
    """

    __slots__ = (
        '_changed',
        '_data_centre',
        '_local',
        '_may_run',
        '_view',
        'is_evacuated',
    )

    def __init__(
        self,
        data_centre: str,
        local: LocalTarget,
        view: MeshView,
    ) -> None:
        """Register for changes of the view."""
        self._data_centre = data_centre
        self._local = local
        self._view = view
        self._changed = asyncio.Event()
        self._may_run = False
        self.is_evacuated = False
        view.evacuated.on_change(self._apply)

    async def run(self) -> None:
        """Confirm the target whenever it may receive calls, until cancelled."""
        while True:
            self._changed.clear()
            async with self._confirming():
                await self._changed.wait()

    @asynccontextmanager
    async def _confirming(self) -> AsyncIterator[None]:
        """Confirm the target in the context if it may receive calls."""
        if not self._may_run:
            yield
            return
        confirmation = asyncio.create_task(
            supervised(
                'target confirmation',
                lambda: confirm_target(self._local, self._view),
            ),
        )
        try:
            yield
        finally:
            confirmation.cancel()

    def _apply(self) -> None:
        """Apply a change of the view at once, before further calls start."""
        evacuated = self._data_centre in self._view.evacuated.names
        if evacuated and not self.is_evacuated:
            self._withdraw()
        elif self.is_evacuated and not evacuated:
            self._local.readmit()
            _LOG.info('target readmitted')
        self.is_evacuated = evacuated
        may_run = self._view.evacuated.is_known and not evacuated
        # A change for another data centre does not end a confirmation.
        if may_run != self._may_run:
            self._may_run = may_run
            self._changed.set()

    def _withdraw(self) -> None:
        refused = self._local.withdraw()
        _LOG.info(
            'target withdrawn',
            extra={
                'waiting_refused': refused,
                'running': self._local.admission.capacity.running,
            },
        )

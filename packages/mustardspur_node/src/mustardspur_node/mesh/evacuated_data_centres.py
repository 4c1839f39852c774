"""Evacuated data centres, as a node knows them."""

import logging
from collections.abc import Callable
from typing import Final

from mustardspur_core.mesh.control_messages import MeshTransfers
from mustardspur_core.mesh.model import MeshTarget

_LOG: Final = logging.getLogger(__name__)


class EvacuatedDataCentres:
    """Data centres whose targets receive no calls.

    Explanation
    ===========

    A control instance sends the evacuations before the table, so that they
    are as recent and as confirmed as the first table that is put in force.
    Until then they are not known.

    Attributes
    ----------
    names : frozenset of str
        The evacuated data centres.
    is_known : bool
        Whether the names are known.
    """

    __slots__ = ('_callbacks', 'is_known', 'names')

    def __init__(self) -> None:
        """Initialise without names."""
        self.names: frozenset[str] = frozenset()
        self.is_known = False
        self._callbacks: list[Callable[[], None]] = []

    def on_change(self, callback: Callable[[], None]) -> None:
        """Register a callback for changes of the attributes."""
        self._callbacks.append(callback)

    def select(self, targets: list[MeshTarget]) -> list[MeshTarget]:
        """Return the targets that are not in an evacuated data centre."""
        if not self.names:
            return targets
        return [
            target for target in targets if target.data_centre not in self.names
        ]

    def apply(self, update: MeshTransfers) -> None:
        """Replace the names; the caller checks that the update is newer."""
        names = frozenset(update.evacuated)
        if names == self.names:
            return
        _LOG.info(
            'evacuations changed',
            extra={
                'evacuated': update.evacuated,
                'before': sorted(self.names),
                'index': update.index,
            },
        )
        self.names = names
        self._notify()

    def mark_known(self) -> None:
        """Record that the first table is in force."""
        if not self.is_known:
            self.is_known = True
            self._notify()

    def _notify(self) -> None:
        for callback in self._callbacks:
            callback()

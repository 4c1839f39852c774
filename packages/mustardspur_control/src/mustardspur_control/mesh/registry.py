"""Registry of the nodes of the mesh and their targets."""

import asyncio
from collections.abc import Callable
from typing import Final

from mustardspur_core.mesh.control_messages import (
    MeshAnnounce,
    MeshCrash,
    MeshEvidence,
    MeshTargets,
)
from mustardspur_core.mesh.model import MeshTarget
from mustardspur_core.record import Record
from mustardspur_core.wire import MalformedFrame

# Source of the registrations of nodes that are attached to this instance.
LOCAL_SOURCE: Final = ''
# Registrations from a disconnected control instance are removed after this
# time, within which its nodes attach to another instance.
REMOVAL_DELAY_S: Final = 6.0
# Nodes accept names of at most this length from their targets.
MAX_NAME_CHARS: Final = 256
# Nodes that another control instance may report, six times the size that the
# mesh is designed for.
MAX_REPORTED: Final = 16_384
_NAMES: Final = (
    'id',
    'service',
    'version',
    'node',
    'data_centre',
    'region',
    'state',
)


class MeshRegistry:
    """Newest registration of each node, by the address of its stream.

    Explanation
    ===========

    A node is reported by the control instance that it is attached to, the
    source of its registration. While it moves to another instance, both
    report it, and the registration with the highest incarnation and sequence
    is used.
    """

    __slots__ = ('_by_source', '_callbacks', 'by_node')

    def __init__(self) -> None:
        """Initialise the registry without nodes."""
        self._by_source: dict[str, dict[str, MeshTarget]] = {}
        self._callbacks: list[Callable[[str], None]] = []
        self.by_node: dict[str, MeshTarget] = {}

    def put(self, source: str, registration: MeshTarget) -> None:
        """Store a registration that a source reports."""
        self._by_source.setdefault(source, {})[registration.node] = registration
        self._update_newest(registration.node)

    def remove(self, source: str, node: str) -> None:
        """Remove the registration of a node at a source."""
        self._by_source.get(source, {}).pop(node, None)
        self._update_newest(node)

    def apply_update(self, source: str, update: MeshTargets) -> None:
        """Apply an update from another control instance.

        Raises
        ------
        MalformedFrame
            If it reports too many nodes, or a name is too long.
        """
        for upsert in update.upserts:
            _check_names(upsert)
        updated = {registration.node for registration in update.upserts}
        if update.full:
            for missing in self.registrations_from(source).keys() - updated:
                self.remove(source, missing)
        for node in update.removed:
            self.remove(source, node)
        known = self._by_source.get(source, {}).keys()
        if len(updated | known) > MAX_REPORTED:
            raise MalformedFrame('length', f'more than {MAX_REPORTED} nodes')
        for registration in update.upserts:
            self.put(source, registration)

    def registrations_from(self, source: str) -> dict[str, MeshTarget]:
        """Return the registrations that a source reports, by node."""
        return dict(self._by_source.get(source, {}))

    def schedule_removal(
        self, source: str, is_live: Callable[[], bool]
    ) -> None:
        """Remove the registrations of a source after `REMOVAL_DELAY_S`.

        Parameters
        ----------
        source : str
            Identifier of the disconnected control instance.
        is_live : callable
            Whether the source has reconnected by then; if so, nothing is
            removed.
        """
        asyncio.get_running_loop().call_later(
            REMOVAL_DELAY_S,
            self._remove_unless,
            source,
            is_live,
        )

    def on_change(self, callback: Callable[[str], None]) -> None:
        """Register a callback for changes of the newest registration.

        It receives the address of the stream of the node.
        """
        self._callbacks.append(callback)

    def _remove_unless(
        self,
        source: str,
        is_live: Callable[[], bool],
    ) -> None:
        if not is_live():
            for node in self.registrations_from(source):
                self.remove(source, node)

    def _update_newest(self, node: str) -> None:
        registrations = [
            by_node[node]
            for by_node in self._by_source.values()
            if node in by_node
        ]
        newest = max(registrations, key=_recency, default=None)
        if newest == self.by_node.get(node):
            return
        if newest is None:
            self.by_node.pop(node, None)
        else:
            self.by_node[node] = newest
        for callback in self._callbacks:
            callback(node)


def check_speaker(body: Record, node: str) -> None:
    """Check that a frame is about the node that sends it.

    Explanation
    ===========

    What a node states is kept by its address. One that states the addresses
    of others would replace what they have stated, and one that goes on with
    further addresses would fill the memory of all control instances.

    Parameters
    ----------
    node : str
        Address that the node stated in its first frame.

    Raises
    ------
    MalformedFrame
        If it is about another node, or has a name that is too long.
    """
    if isinstance(body, MeshAnnounce):
        _check_node(body.target.node, node)
        _check_names(body.target)
    elif isinstance(body, MeshEvidence | MeshCrash):
        _check_node(body.node, node)


def _check_node(stated: str, node: str) -> None:
    if stated != node:
        raise MalformedFrame('fields', 'node: expected that of the stream')


def _check_names(target: MeshTarget) -> None:
    for name in _NAMES:
        if len(getattr(target, name)) > MAX_NAME_CHARS:
            raise MalformedFrame(
                'fields',
                f'{name}: expected at most {MAX_NAME_CHARS} characters',
            )


def _recency(registration: MeshTarget) -> tuple[int, int]:
    return registration.incarnation, registration.sequence

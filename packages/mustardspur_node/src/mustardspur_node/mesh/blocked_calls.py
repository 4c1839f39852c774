"""Calls that no target may run, since they have crashed several."""

import asyncio
import logging
from typing import Final

from mustardspur_core.mesh.call_messages import CallOpen
from mustardspur_core.mesh.control_messages import BlockedCall, MeshBlocks

from mustardspur_node.mesh.calls import MeshCall, not_sent_fault
from mustardspur_node.mesh.fingerprints import call_fingerprint
from mustardspur_node.mesh.names import HeaderNames

_LOG: Final = logging.getLogger(__name__)


class BlockedCalls:
    """Calls that the control instances have blocked.

    They are kept while no control instance can be reached.

    Parameters
    ----------
    names : HeaderNames
        Names of the HTTP headers.
    """

    __slots__ = ('_lifted_index', '_names', '_until_s_by_fingerprint')

    def __init__(self, names: HeaderNames) -> None:
        """Initialise without calls."""
        self._names = names
        # Log index of the latest lift of a block.
        self._lifted_index = 0
        self._until_s_by_fingerprint: dict[bytes, float] = {}

    def __len__(self) -> int:
        """Return the number of blocks, some of which may have just ended."""
        return len(self._until_s_by_fingerprint)

    def apply(self, update: MeshBlocks) -> None:
        """Add blocked calls, and remove those whose time is over.

        A call without time left is one whose block was lifted. An instance
        that has not applied all lifts, such as one that was cut off or has
        just started, may still block calls whose blocks were lifted; its
        updates are ignored.
        """
        if update.lifted_index < self._lifted_index:
            return
        self._lifted_index = update.lifted_index
        now_s = _now()
        self._until_s_by_fingerprint = {
            fingerprint: until_s
            for fingerprint, until_s in self._until_s_by_fingerprint.items()
            if until_s > now_s
        }
        for each in update.blocked:
            if each.left_s > 0:
                self._block(each, now_s)
            else:
                self._lift(each.fingerprint)

    def raise_if_blocked(self, call: MeshCall | CallOpen) -> None:
        """Raise a `PlacementFault` of kind ``blocked`` for a blocked call."""
        if not self._until_s_by_fingerprint:
            return
        fingerprint = call_fingerprint(
            self._names, call.method, call.path, call.headers, call.body
        )
        if self._until_s_by_fingerprint.get(fingerprint, 0) > _now():
            raise not_sent_fault(
                'blocked', 'the call has crashed several targets'
            )

    def _block(self, blocked: BlockedCall, now_s: float) -> None:
        until_s = now_s + blocked.left_s
        self._until_s_by_fingerprint[blocked.fingerprint] = until_s
        _LOG.warning(
            'call blocked',
            extra={
                'fingerprint': blocked.fingerprint.hex(),
                'left_s': round(blocked.left_s),
            },
        )

    def _lift(self, fingerprint: bytes) -> None:
        if self._until_s_by_fingerprint.pop(fingerprint, None) is not None:
            _LOG.info(
                'block lifted',
                extra={'fingerprint': fingerprint.hex()},
            )


def _now() -> float:
    return asyncio.get_running_loop().time()

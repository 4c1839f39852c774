"""Calls that no target may run, since they have crashed several."""

import asyncio
import logging
from typing import Final

from mustardspur_core.mesh.call_messages import CallOpen
from mustardspur_core.mesh.control_messages import MeshBlocks

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

    __slots__ = ('_names', '_until_s_by_fingerprint')

    def __init__(self, names: HeaderNames) -> None:
        """Initialise without calls."""
        self._names = names
        self._until_s_by_fingerprint: dict[bytes, float] = {}

    def apply(self, update: MeshBlocks) -> None:
        """Add blocked calls, and remove those whose time is over."""
        now_s = _now()
        self._until_s_by_fingerprint = {
            fingerprint: until_s
            for fingerprint, until_s in self._until_s_by_fingerprint.items()
            if until_s > now_s
        }
        for each in update.blocked:
            self._until_s_by_fingerprint[each.fingerprint] = now_s + each.left_s
            _LOG.warning(
                'call blocked',
                extra={
                    'fingerprint': each.fingerprint.hex(),
                    'left_s': round(each.left_s),
                },
            )

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


def _now() -> float:
    return asyncio.get_running_loop().time()

"""Calls whose body is still being received in parts."""

from typing import Final

from mustardspur_core.mesh.call_messages import CallOpen, CallPart
from mustardspur_core.record import replaced
from mustardspur_core.wire import MalformedFrame

# Bodies on one stream whose last part has not arrived. The longest body that a
# caller may send fits.
MAX_PARTIAL_BYTES: Final = 67_108_864


class PartialCalls:
    """Calls on one stream whose last part has not arrived."""

    __slots__ = ('_calls_by_id', '_parts_by_id', '_size')

    def __init__(self) -> None:
        """Initialise without calls."""
        self._calls_by_id: dict[int, CallOpen] = {}
        self._parts_by_id: dict[int, list[bytes]] = {}
        self._size = 0

    def open(self, call_id: int, call: CallOpen) -> None:
        """Add a call with the first part of its body."""
        self._calls_by_id[call_id] = call
        self._parts_by_id[call_id] = [call.body]
        self._size += len(call.body)

    def add(self, call_id: int, part: CallPart) -> CallOpen | None:
        """Add a part, and return the call if it is the last part.

        A part of a call that was discarded is ignored.

        Raises
        ------
        MalformedFrame
            If the parts exceed `MAX_PARTIAL_BYTES`.
        """
        call = self._calls_by_id.get(call_id)
        if call is None:
            return None
        self._parts_by_id[call_id].append(part.body)
        self._size += len(part.body)
        if self._size > MAX_PARTIAL_BYTES:
            raise MalformedFrame(
                'length', f'{self._size} bytes of unfinished calls'
            )
        if part.more:
            return None
        body = b''.join(self._parts_by_id[call_id])
        self.discard(call_id)
        return replaced(call, body=body, more=False)

    def discard(self, call_id: int) -> None:
        """Remove a call and its parts."""
        self._calls_by_id.pop(call_id, None)
        parts = self._parts_by_id.pop(call_id, [])
        self._size -= sum(len(part) for part in parts)

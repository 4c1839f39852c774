"""Calls whose body is still being received in parts."""

from typing import Final

from mustardspur_core.mesh.call_messages import CallOpen, CallPart
from mustardspur_core.record import replaced
from mustardspur_core.wire import MalformedFrame

from mustardspur_node.mesh.body_buffer import BodyBuffer
from mustardspur_node.mesh.body_room import BodyRoom
from mustardspur_node.mesh.calls import not_sent_fault

# Bodies on one stream whose last part has not arrived. The longest body that a
# caller may send fits.
MAX_PARTIAL_BYTES: Final = 67_108_864


# Memory that a call and each of its headers take besides their characters.
CALL_BYTES: Final = 2000
HEADER_BYTES: Final = 200


class _PartialCall:
    """A call and the parts of its body that have arrived.

    Attributes
    ----------
    size : int
        Memory that its head and its parts take.
    """

    __slots__ = ('buffer', 'call', 'size')

    def __init__(self, call: CallOpen) -> None:
        """Initialise without parts."""
        # The first part is held with the others.
        self.call = replaced(call, body=b'')
        self.buffer = BodyBuffer()
        self.size = 0


class PartialCalls:
    """Calls on one stream whose last part has not arrived.

    Parameters
    ----------
    room : BodyRoom or None
        Bytes of all bodies that the node holds; None for one of its own.
    """

    __slots__ = ('_calls_by_id', '_room', '_size')

    def __init__(self, room: BodyRoom | None = None) -> None:
        """Initialise without calls."""
        self._room = room or BodyRoom()
        self._calls_by_id: dict[int, _PartialCall] = {}
        self._size = 0

    def open(self, call_id: int, call: CallOpen) -> None:
        """Add a call with the first part of its body.

        Raises
        ------
        MalformedFrame
            If the call is open, or the calls exceed `MAX_PARTIAL_BYTES`.
        PlacementFault
            If the node has no room for the call.
        """
        if call_id in self._calls_by_id:
            raise MalformedFrame('type', 'CallOpen after CallOpen')
        self._calls_by_id[call_id] = _PartialCall(call)
        self._add(call_id, call.body, _head_bytes(call))

    def add(self, call_id: int, part: CallPart) -> CallOpen | None:
        """Add a part, and return the call if it is the last part.

        A part of a call that was discarded is ignored.

        Raises
        ------
        MalformedFrame
            If the parts exceed `MAX_PARTIAL_BYTES`.
        PlacementFault
            If the node has no room for the part. The call has not run.
        """
        partial_call = self._calls_by_id.get(call_id)
        if partial_call is None:
            return None
        self._add(call_id, part.body)
        if part.more:
            return None
        self.discard(call_id)
        body = partial_call.buffer.take()
        return replaced(partial_call.call, body=body, more=False)

    def discard(self, call_id: int) -> None:
        """Remove a call and its parts."""
        partial_call = self._calls_by_id.pop(call_id, None)
        if partial_call is not None:
            self._size -= partial_call.size
            self._room.release(partial_call.size)

    def discard_all(self) -> None:
        """Remove all calls and their parts."""
        for call_id in list(self._calls_by_id):
            self.discard(call_id)

    def _add(self, call_id: int, part: bytes, head_bytes: int = 0) -> None:
        size = len(part) + head_bytes
        if not self._room.fits(size):
            self.discard(call_id)
            held = self._room.held_bytes
            raise not_sent_fault('busy', f'{held} bytes of bodies are held')
        partial_call = self._calls_by_id[call_id]
        partial_call.buffer.add(part)
        partial_call.size += size
        self._size += size
        self._room.hold(size)
        if self._size > MAX_PARTIAL_BYTES:
            raise MalformedFrame(
                'length', f'{self._size} bytes of unfinished calls'
            )


def _head_bytes(call: CallOpen) -> int:
    """Return the memory that a call takes without its body."""
    texts = sum(len(name) + len(text) for name, text in call.headers)
    return (
        CALL_BYTES + len(call.path) + texts + HEADER_BYTES * len(call.headers)
    )

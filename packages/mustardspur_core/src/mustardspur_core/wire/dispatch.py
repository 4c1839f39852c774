"""Registry of the functions that take the messages of a stream."""

from collections.abc import Callable
from typing import Any, TypeVar

from mustardspur_core.record import Record
from mustardspur_core.wire.codec import MalformedFrame

Handle = Callable[..., Any]
_HandleT = TypeVar('_HandleT', bound=Handle)


class MessageDispatcher:
    """Functions by the type of message that each takes.

    Parameters
    ----------
    sender : str
        Who sends on the stream, for the message about a wrong type.

    Examples
    ========

    >>> from mustardspur_core.messages import Heartbeat
    >>> dispatch = Dispatch('a node')
    >>> @dispatch.handles(Heartbeat)
    ... def take(beat):
    ...     return beat.sequence
    >>> beat = Heartbeat(sequence=3)
    >>> dispatch.handle_of(beat)(beat)
    3
    """

    __slots__ = ('_handles_by_type', '_sender')

    def __init__(self, sender: str) -> None:
        """Start without functions."""
        self._sender = sender
        self._handles_by_type: dict[type[Record], Handle] = {}

    def handles(
        self,
        message_type: type[Record],
    ) -> Callable[[_HandleT], _HandleT]:
        """Register the function that takes a type of message."""

        def decorator(handle: _HandleT) -> _HandleT:
            self._handles_by_type[message_type] = handle
            return handle

        return decorator

    def handler_of(self, body: Record) -> Handle:
        """Return the function that takes a message.

        Raises
        ------
        MalformedFrame
            If the sender does not send messages of this type.
        """
        handle = self._handles_by_type.get(type(body))
        if handle is None:
            kind = type(body).__name__
            raise MalformedFrame('type', f'{kind} from {self._sender}')
        return handle

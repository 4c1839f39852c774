"""Registry of handlers for the messages of a stream."""

from collections.abc import Callable
from typing import Any, TypeVar

from mustardspur_core.record import Record
from mustardspur_core.wire.codec import MalformedFrame

Handler = Callable[..., Any]
_HandlerT = TypeVar('_HandlerT', bound=Handler)


class MessageDispatcher:
    """Handlers by the type of message.

    Parameters
    ----------
    sender : str
        Description of the sender, for the error about an unexpected type.

    Examples
    ========

    >>> from mustardspur_core.messages import Heartbeat
    >>> dispatcher = MessageDispatcher('a node')
    >>> @dispatcher.handles(Heartbeat)
    ... def on_heartbeat(heartbeat):
    ...     return heartbeat.sequence
    >>> heartbeat = Heartbeat(sequence=3)
    >>> dispatcher.handler_of(heartbeat)(heartbeat)
    3
    """

    __slots__ = ('_handlers_by_type', '_sender')

    def __init__(self, sender: str) -> None:
        """Initialise a dispatcher without handlers."""
        self._sender = sender
        self._handlers_by_type: dict[type[Record], Handler] = {}

    def handles(
        self,
        message_type: type[Record],
    ) -> Callable[[_HandlerT], _HandlerT]:
        """Return a decorator that registers the handler of a message type."""

        def decorator(handler: _HandlerT) -> _HandlerT:
            self._handlers_by_type[message_type] = handler
            return handler

        return decorator

    def handler_of(self, body: Record) -> Handler:
        """Return the handler of a message.

        Raises
        ------
        MalformedFrame
            If no handler is registered for its type.
        """
        handler = self._handlers_by_type.get(type(body))
        if handler is None:
            kind = type(body).__name__
            raise MalformedFrame('type', f'{kind} from {self._sender}')
        return handler

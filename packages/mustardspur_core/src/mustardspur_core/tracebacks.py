"""Release of what the tracebacks of exceptions hold."""


def release_frames(error: BaseException) -> None:
    """Remove the tracebacks of an exception and of those that led to it.

    Explanation
    ===========

    A future, a stream or a connection keeps the exception that ended it, and
    the exception its traceback, whose frames refer to that object again. Only
    a garbage collection ends such a cycle, with all that was received.

    Parameters
    ----------
    error : BaseException
        An exception that is handled and not logged with its traceback.
    """
    left: list[BaseException | None] = [error]
    released: set[int] = set()
    while left:
        current = left.pop()
        if current is not None and id(current) not in released:
            released.add(id(current))
            current.__traceback__ = None
            left.extend((current.__cause__, current.__context__))
